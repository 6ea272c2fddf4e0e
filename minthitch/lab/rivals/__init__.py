"""What users would get instead, played in the same model: each after its public description."""
