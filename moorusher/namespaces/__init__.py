"""Namespaces: each customer's own routing rules, how drafts of them are parsed and checked, and which rule decides.

This package does no I/O. A decision for a customer depends only on that customer's revision, the platform's defaults
and the platform's grants to that customer. `docs/design/namespaces.md` gives the reasons for this design.
"""
