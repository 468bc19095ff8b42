"""The administration API: JSON over HTTP on loopback, one module for each group of resources."""
