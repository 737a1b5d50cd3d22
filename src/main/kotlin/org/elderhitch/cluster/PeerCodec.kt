package org.elderhitch.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.http.Response
import org.slf4j.LoggerFactory

/** The protobuf form of the messages between controllers. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private const val CONTENT_TYPE = "application/x-protobuf"
    private val log = LoggerFactory.getLogger("elderhitch.cluster")

    fun <T> encode(serializer: KSerializer<T>, message: T): ByteArray = ProtoBuf.encodeToByteArray(serializer, message)

    /** A successful response with the message as its body. */
    fun <T> respond(serializer: KSerializer<T>, message: T): Response = respond(encode(serializer, message))

    fun respond(body: ByteArray): Response = Response(HttpStatus.OK, body, contentType = CONTENT_TYPE)

    /** Null: the bytes are no such message, which is logged. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (e: IllegalArgumentException) {
        logMalformed(e)
        null
    } catch (
        // The decoder has no exception of its own for a message that is cut short within a number or a text.
        @Suppress("TooGenericExceptionCaught") e: IndexOutOfBoundsException,
    ) {
        logMalformed(e)
        null
    }

    private fun logMalformed(e: RuntimeException) = log.info("malformed message reason=\"{}\"", e.message)
}

/** The statuses of requests between controllers. */
internal object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
}
