"""Protocol between entry VMs: messages, connections and membership."""
