package org.elderhitch.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.http.Response
import org.slf4j.LoggerFactory

/** Encodes and decodes the protobuf messages between controllers. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private const val CONTENT_TYPE = "application/x-protobuf"
    private val log = LoggerFactory.getLogger("elderhitch.cluster")

    fun <T> encode(serializer: KSerializer<T>, message: T): ByteArray = ProtoBuf.encodeToByteArray(serializer, message)

    /** Returns a successful response with the encoded message as its body. */
    fun <T> respond(serializer: KSerializer<T>, message: T): Response = respond(encode(serializer, message))

    fun respond(body: ByteArray): Response = Response(HttpStatus.OK, body, contentType = CONTENT_TYPE)

    /** Decodes a message. Logs a malformed one and returns null. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (e: IllegalArgumentException) {
        logMalformed(e)
        null
    } catch (
        // The decoder has no exception of its own for a message that is truncated within a number or a string.
        @Suppress("TooGenericExceptionCaught") e: IndexOutOfBoundsException,
    ) {
        logMalformed(e)
        null
    }

    private fun logMalformed(e: RuntimeException) = log.info("malformed message reason=\"{}\"", e.message)
}

/** HTTP status codes of responses between controllers. */
internal object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
}
