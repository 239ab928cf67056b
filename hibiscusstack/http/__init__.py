"""A small HTTP/1.1 client and server, for processes whose memory is dear."""
