package org.elderhitch.http

import java.net.URLDecoder

/** A message violates HTTP/1.1 or exceeds one of the [MessageLimits]; [status] is what a server responds. */
public class MalformedMessage(public val status: Int, message: String, cause: Throwable? = null) :
    Exception(message, cause)

/** The maximum sizes of the parts of a message. */
public data class MessageLimits(
    val startLineBytes: Int = 4096,
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val headerCount: Int = 64,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
) {
    private companion object {
        const val DEFAULT_HEADER_BYTES = 16 * 1024
        const val DEFAULT_BODY_BYTES = 64 * 1024
    }
}

/** One request or response: the start line, the headers by their names in lower case, and the body. */
public class Message(
    public val startLine: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
    public val keepAlive: Boolean,
)

/**
 * An incremental parser of HTTP/1.1 messages: the bytes of a connection may arrive in pieces of any size. It is strict,
 * and rejects a bare LF, a folded header, conflicting Content-Length headers, Content-Length together with
 * Transfer-Encoding, and anything over a limit.
 */
public class MessageParser(private val limits: MessageLimits, private val isResponse: Boolean) {
    private enum class State { START, HEADERS, BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS }

    private var state = State.START
    private val line = ByteBuilder()
    private val body = ByteBuilder()
    private var startLine = ""
    private var headers = LinkedHashMap<String, String>()
    private var headerBytes = 0
    private var headerCount = 0
    private var remaining = 0L
    private var sawCarriageReturn = false

    /** Whether no message has been started, so that closing the connection interrupts none. */
    public val isIdle: Boolean get() = state == State.START && line.size == 0 && !sawCarriageReturn

    /**
     * Parses the bytes of [data] from [from] up to, but not including, [until]. Returns the number of bytes consumed
     * and the message that they complete, if any; the bytes after that message must be fed again.
     */
    public fun feed(data: ByteArray, from: Int, until: Int): Pair<Int, Message?> {
        var position = from
        while (position < until) {
            when (state) {
                State.BODY, State.CHUNK_DATA -> {
                    val consumed = minOf(remaining, (until - position).toLong()).toInt()
                    body.append(data, position, consumed)
                    position += consumed
                    remaining -= consumed
                    if (remaining == 0L) {
                        if (state == State.BODY) return position - from to endMessage()
                        state = State.CHUNK_END
                    }
                }

                else -> {
                    val complete = addLineByte(data[position])
                    position++
                    if (complete) endLine()?.let { return position - from to it }
                }
            }
        }
        return position - from to null
    }

    /** Returns whether [byte] completes the line. */
    private fun addLineByte(byte: Byte): Boolean {
        if (sawCarriageReturn) {
            if (byte != LF) throw MalformedMessage(BAD_REQUEST, "CR without LF")
            sawCarriageReturn = false
            return true
        }
        if (byte == CR) {
            sawCarriageReturn = true
            return false
        }
        if (byte == LF || byte == 0.toByte()) throw MalformedMessage(BAD_REQUEST, "LF without CR, or NUL, in a line")
        line.append(byte)
        when (state) {
            State.START -> if (line.size > limits.startLineBytes) {
                throw MalformedMessage(URI_TOO_LONG, "start line too long")
            }

            State.HEADERS, State.TRAILERS -> if (++headerBytes > limits.headerBytes) {
                throw MalformedMessage(HEADERS_TOO_LARGE, "header section too large")
            }

            else -> if (line.size > MAX_SIZE_LINE_BYTES) throw MalformedMessage(BAD_REQUEST, "chunk size too long")
        }
        return false
    }

    /** Processes the line that has just been completed; returns the message if the line completes it. */
    private fun endLine(): Message? {
        val text = line.drain().toString(Charsets.ISO_8859_1)
        when (state) {
            State.START -> if (text.isNotEmpty()) {
                startLine = text
                state = State.HEADERS
            }

            State.HEADERS -> if (text.isEmpty()) return endHeaders() else addHeader(text)

            State.TRAILERS -> if (text.isEmpty()) return endMessage()

            State.CHUNK_SIZE -> {
                val size = text.substringBefore(';').trim()
                if (size.isEmpty() || size.length > MAX_SIZE_DIGITS || size.any { it !in "0123456789abcdefABCDEF" }) {
                    throw MalformedMessage(BAD_REQUEST, "invalid chunk size")
                }
                remaining = size.toLong(HEX_RADIX)
                checkBodySize(body.size + remaining)
                state = if (remaining == 0L) State.TRAILERS else State.CHUNK_DATA
            }

            State.CHUNK_END -> {
                if (text.isNotEmpty()) throw MalformedMessage(BAD_REQUEST, "chunk data longer than the chunk size")
                state = State.CHUNK_SIZE
            }

            State.BODY, State.CHUNK_DATA -> error("a body has no lines")
        }
        return null
    }

    private fun addHeader(text: String) {
        if (++headerCount > limits.headerCount) throw MalformedMessage(HEADERS_TOO_LARGE, "too many headers")
        val colon = text.indexOf(':')
        if (colon < 1 || text.substring(0, colon).any { it <= ' ' || it >= DEL }) {
            throw MalformedMessage(BAD_REQUEST, "invalid header name")
        }
        val name = text.substring(0, colon).lowercase()
        val value = text.substring(colon + 1).trim()
        val old = headers.put(name, value)
        if (name in SINGLETONS && old != null && old != value) throw MalformedMessage(BAD_REQUEST, "conflicting $name")
    }

    /** Returns the message if it has no body. */
    private fun endHeaders(): Message? {
        val coding = headers["transfer-encoding"]
        val length = headers["content-length"]
        if (coding != null) {
            if (length != null) throw MalformedMessage(BAD_REQUEST, "both Content-Length and Transfer-Encoding")
            if (!coding.equals("chunked", ignoreCase = true)) throw MalformedMessage(NOT_IMPLEMENTED, "unknown coding")
            state = State.CHUNK_SIZE
            return null
        }
        if (length == null) {
            if (isResponse && !isWithoutBody()) throw MalformedMessage(BAD_REQUEST, "response without Content-Length")
            return endMessage()
        }
        if (length.isEmpty() || length.length > MAX_CONTENT_LENGTH_DIGITS || length.any { it !in '0'..'9' }) {
            throw MalformedMessage(BAD_REQUEST, "invalid Content-Length")
        }
        remaining = length.toLong()
        checkBodySize(remaining)
        if (remaining == 0L) return endMessage()
        state = State.BODY
        return null
    }

    private fun isWithoutBody(): Boolean = startLine.split(' ').getOrNull(1) == "204"

    private fun checkBodySize(size: Long) {
        if (size > limits.bodyBytes) throw MalformedMessage(BAD_REQUEST, "body exceeds ${limits.bodyBytes} bytes")
    }

    private fun endMessage(): Message {
        val connection = headers["connection"].orEmpty().lowercase()
        val isHttp10 = if (isResponse) startLine.startsWith("HTTP/1.0") else startLine.endsWith("HTTP/1.0")
        val keepAlive =
            if (isHttp10) connection == "keep-alive" else !connection.split(',').any { it.trim() == "close" }
        val message = Message(startLine, headers, body.drain(), keepAlive)
        headers = LinkedHashMap()
        headerBytes = 0
        headerCount = 0
        state = State.START
        return message
    }

    private class ByteBuilder {
        private var bytes = ByteArray(INITIAL_CAPACITY_BYTES)
        var size = 0
            private set

        fun append(byte: Byte) {
            ensureCapacity(1)
            bytes[size++] = byte
        }

        fun append(source: ByteArray, offset: Int, count: Int) {
            ensureCapacity(count)
            System.arraycopy(source, offset, bytes, size, count)
            size += count
        }

        /** Returns the bytes added so far and removes them. */
        fun drain(): ByteArray {
            val drained = bytes.copyOf(size)
            size = 0
            if (bytes.size > MAX_RETAINED_CAPACITY_BYTES) bytes = ByteArray(INITIAL_CAPACITY_BYTES)
            return drained
        }

        private fun ensureCapacity(added: Int) {
            if (size + added > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + added))
        }
    }

    public companion object {
        private const val CR: Byte = 13
        private const val LF: Byte = 10
        private const val DEL = '\u007f'
        private const val HEX_RADIX = 16
        private const val MAX_SIZE_DIGITS = 8
        private const val MAX_CONTENT_LENGTH_DIGITS = 12
        private const val MAX_SIZE_LINE_BYTES = 64
        private const val INITIAL_CAPACITY_BYTES = 256
        private const val MAX_RETAINED_CAPACITY_BYTES = 8 * 1024

        /** The method, the target and the version. */
        private const val REQUEST_LINE_PARTS = 3
        private const val BAD_REQUEST = 400
        private const val URI_TOO_LONG = 414
        private const val HEADERS_TOO_LARGE = 431
        private const val NOT_IMPLEMENTED = 501

        /** Headers that may be repeated only with the same value. */
        private val SINGLETONS = setOf("content-length", "transfer-encoding", "host")

        /** Reads [message] as a request from the IP address [from]; null if the address is unknown. */
        public fun request(message: Message, from: String? = null): Request {
            val parts = message.startLine.split(' ')
            if (parts.size != REQUEST_LINE_PARTS || !parts[2].startsWith("HTTP/1.")) {
                throw MalformedMessage(BAD_REQUEST, "invalid HTTP/1.1 request line")
            }
            val (method, target) = parts
            if (method.isEmpty() || method.any { it !in 'A'..'Z' } || !target.startsWith("/")) {
                throw MalformedMessage(BAD_REQUEST, "invalid HTTP/1.1 request line")
            }
            return Request(
                method,
                target.substringBefore('?'),
                parseQuery(target.substringAfter('?', "")),
                message.body,
                from,
            )
        }

        private fun parseQuery(text: String): Map<String, String> = if (text.isEmpty()) {
            emptyMap()
        } else {
            try {
                text.split('&').associate {
                    URLDecoder.decode(it.substringBefore('='), Charsets.UTF_8) to
                        URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8)
                }
            } catch (e: IllegalArgumentException) {
                throw MalformedMessage(BAD_REQUEST, "invalid percent-encoding in the query: ${e.message}", e)
            }
        }

        /** Reads [message] as a response. */
        public fun response(message: Message): Response {
            val status = message.startLine.split(' ').getOrNull(1)?.toIntOrNull()
            if (!message.startLine.startsWith("HTTP/1.") || status == null) {
                throw MalformedMessage(BAD_REQUEST, "invalid status line")
            }
            return Response(status, message.body, message.headers)
        }
    }
}
