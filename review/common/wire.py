"""The two wire protocols of the pages: MessagePack-RPC (clients) and RESP (engines)."""
import struct


def pack(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if value is False:
        return b"\xc2"
    if isinstance(value, int):
        return bytes([value]) if 0 <= value < 0x80 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        data = value.encode()
        return (bytes([0xA0 | len(data)]) if len(data) < 32 else b"\xda" + struct.pack(">H", len(data))) + data
    if isinstance(value, bytes):
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(pack(item) for item in value)
    if isinstance(value, dict):
        return bytes([0x80 | len(value)]) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(type(value))


class Short(Exception):
    """More bytes are needed."""


def _take(data, at, size):
    if at + size > len(data):
        raise Short
    return data[at:at + size], at + size


def unpack(data, at=0):
    """Returns one value and the position after it. Raises Short, or ValueError for what is no value."""
    head, at = _take(data, at, 1)
    first = head[0]
    if first < 0x80:
        return first, at
    if first < 0x90:
        return _unpack_map(data, at, first & 0x0F)
    if first < 0xA0:
        return _unpack_list(data, at, first & 0x0F)
    if first < 0xC0:
        raw, at = _take(data, at, first & 0x1F)
        return raw.decode("utf-8", "replace"), at
    if first >= 0xE0:
        return first - 256, at
    simple = {0xC0: None, 0xC2: False, 0xC3: True}
    if first in simple:
        return simple[first], at
    widths = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4, 0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4,
              0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
    if first not in widths:
        raise ValueError("byte %#x" % first)
    raw, at = _take(data, at, widths[first])
    number = int.from_bytes(raw, "big")
    if 0xCC <= first <= 0xCF:
        return number, at
    if first in (0xDC, 0xDD):
        return _unpack_list(data, at, number)
    if first in (0xDE, 0xDF):
        return _unpack_map(data, at, number)
    raw, at = _take(data, at, number)
    return (bytes(raw) if first <= 0xC6 else raw.decode("utf-8", "replace")), at


def _unpack_list(data, at, size):
    out = []
    for _ in range(size):
        value, at = unpack(data, at)
        out.append(value)
    return out, at


def _unpack_map(data, at, size):
    out = {}
    for _ in range(size):
        key, at = unpack(data, at)
        out[key], at = unpack(data, at)
    return out, at


def resp(*parts):
    out = b"*%d\r\n" % len(parts)
    for part in parts:
        data = part if isinstance(part, bytes) else str(part).encode()
        out += b"$%d\r\n%s\r\n" % (len(data), data)
    return out


async def read_resp(reader):
    """One command of a workload manager, or None at the end of the stream."""
    head = await reader.readline()
    if not head.endswith(b"\r\n"):
        return None
    parts = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts
