"""Hot restart: the connection between the old and the new process of one runner, and the handover over it.

`frames` defines the messages and their encoding, `peer_connection` the protocol, and `rendezvous` how the processes
find each other. `coordinator` passes events to the state machine (`moorusher.hot_restart.process_role`);
`message_receiver` handles the other process's messages, and `instruction_executor` the state machine's instructions.
"""
