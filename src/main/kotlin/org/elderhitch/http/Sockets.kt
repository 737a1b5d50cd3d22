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

/** Creates the channel group of a process: one thread waits for I/O events, and [loop] runs the completion handlers. */
public fun channelGroup(loop: ExecutorService): AsynchronousChannelGroup =
    AsynchronousChannelGroup.withCachedThreadPool(loop, 0)

internal suspend fun AsynchronousServerSocketChannel.acceptNext(): AsynchronousSocketChannel =
    awaitCompletion(this) { accept(Unit, it) }

internal suspend fun AsynchronousSocketChannel.connectTo(address: java.net.InetSocketAddress) {
    awaitCompletion<Void?>(this) { connect(address, Unit, it) }
}

internal suspend fun AsynchronousSocketChannel.readInto(buffer: ByteBuffer): Int =
    awaitCompletion(this) { read(buffer, Unit, it) }

internal suspend fun AsynchronousSocketChannel.writeAll(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) awaitCompletion<Int>(this) { write(buffer, Unit, it) }
}

private suspend fun <T> awaitCompletion(channel: Channel, start: (CompletionHandler<T, Unit>) -> Unit): T =
    suspendCancellableCoroutine { continuation ->
        // NIO.2 can't cancel a single operation, and the channel of one that is abandoned can't be used any further.
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
