package org.elderhitch.json

import org.slf4j.Logger

/** What [decode] reads from a peer's answer; a malformed one is logged and counts as [otherwise]. */
internal inline fun <T> decodedFrom(peer: String, log: Logger, otherwise: T, decode: () -> T): T = try {
    decode()
} catch (e: MalformedJson) {
    log.info("malformed answer from={} reason=\"{}\"", peer, e.message)
    otherwise
}
