"""HTTP/1.1 on both edges: the callers' connections and the upstreams'."""
