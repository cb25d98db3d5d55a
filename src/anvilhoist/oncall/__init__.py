"""What on-call engineers read: one request's story, and the rounds of the project."""
