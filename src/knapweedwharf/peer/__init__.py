"""Messages between entry VMs and the transport that carries them."""
