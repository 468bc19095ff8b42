"""Machines that are taken out for work, in an order that the runners settle among themselves. Pure.

`roster` is what all of them share, as the value of one register; `changes` are the only ways in which it becomes
another one; `spare` says what the fleet can do without, `order` who goes first, `plan` the next step, `machine` what
the machine itself has to do; `coordinator` is one member's part in all of that.
"""
