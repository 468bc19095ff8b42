"""Wire formats that both a frontend and a backend use."""
