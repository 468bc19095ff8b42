"""The connection between two processes of one runner, and the process's role carried out over it.

`frames` are the messages and their bytes, `peer_connection` the protocol, `rendezvous` how the processes find each
other; `coordinator` has the role decide (`moorusher.hot_restart.process_role`), and `message_receiver` and
`instruction_executor` carry out what follows.
"""
