package org.elderhitch.http

import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.Channel
import java.nio.channels.CompletionHandler
import java.util.concurrent.ExecutorService
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** The channel group of a process: one thread watches the sockets, and [loop] runs all that follows from them. */
public fun channelGroup(loop: ExecutorService): AsynchronousChannelGroup =
    AsynchronousChannelGroup.withCachedThreadPool(loop, 0)

internal suspend fun AsynchronousServerSocketChannel.acceptNext(): AsynchronousSocketChannel =
    suspendOn(this) { accept(Unit, it) }

internal suspend fun AsynchronousSocketChannel.connectTo(address: java.net.InetSocketAddress) {
    suspendOn<Void?>(this) { connect(address, Unit, it) }
}

internal suspend fun AsynchronousSocketChannel.readInto(buffer: ByteBuffer): Int =
    suspendOn(this) { read(buffer, Unit, it) }

internal suspend fun AsynchronousSocketChannel.writeAll(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) suspendOn<Int>(this) { write(buffer, Unit, it) }
}

private suspend fun <T> suspendOn(channel: Channel, start: (CompletionHandler<T, Unit>) -> Unit): T =
    suspendCancellableCoroutine { continuation ->
        // NIO.2 can't take an operation back: the channel of a cancelled one is of no further use.
        continuation.invokeOnCancellation { channel.closeQuietly() }
        start(object : CompletionHandler<T, Unit> {
            override fun completed(result: T, attachment: Unit) = continuation.resume(result)
            override fun failed(error: Throwable, attachment: Unit) = continuation.resumeWithException(error)
        })
    }

internal fun Channel.closeQuietly() {
    try {
        close()
    } catch (e: IOException) {
        org.slf4j.LoggerFactory.getLogger("elderhitch.http").debug("close failed: {}", e.message)
    }
}
