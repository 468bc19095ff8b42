"""Fault injection against real runner processes, with an auditor that checks what clients and backends observed."""
