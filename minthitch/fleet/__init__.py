"""Many nodes looked at together."""
