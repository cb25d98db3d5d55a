"""JSON interface of the tier: searches, single-use tickets and bookings."""
