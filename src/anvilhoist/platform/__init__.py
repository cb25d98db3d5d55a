"""Translation between the product and the users' machines, and nothing else."""
