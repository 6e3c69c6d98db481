"""Stand-ins and checks that the cases of this review share."""
