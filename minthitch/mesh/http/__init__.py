"""HTTP/1.1 of the mesh: the node's connections and parsing, plus the mesh's headers, limits and responses."""
