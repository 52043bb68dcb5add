"""Engines to which nothing is routed: listeners on loopback addresses of their own."""
import selectors
import socket
import sys

port, count = int(sys.argv[1]), int(sys.argv[2])
selector = selectors.DefaultSelector()
for number in range(count):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((f"127.1.{number // 200}.{number % 200 + 1}", port))
    listener.listen(8)
    listener.setblocking(False)
    selector.register(listener, selectors.EVENT_READ, None)
print("listens", flush=True)
while True:
    for key, _ in selector.select():
        if key.data is None:
            connection, _ = key.fileobj.accept()
            connection.setblocking(False)
            selector.register(connection, selectors.EVENT_READ, True)
        else:
            try:
                if not key.fileobj.recv(65536):
                    raise OSError
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(key.fileobj)
                key.fileobj.close()
