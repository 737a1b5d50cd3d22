package org.elderhitch.json

import org.slf4j.Logger

/** Decodes the answer of [peer] with [decode]. A malformed one is logged, and [default] is returned. */
internal inline fun <T> decodeOrDefault(peer: String, log: Logger, default: T, decode: () -> T): T = try {
    decode()
} catch (e: MalformedJson) {
    log.info("malformed answer from={} reason=\"{}\"", peer, e.message)
    default
}
