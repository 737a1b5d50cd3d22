package org.elderhitch.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Owns its state; others only [tell] it things. [receive] never waits: what takes time is launched beside it and comes
 * back as a message, so that an actor's state changes in one place and never under its feet.
 */
public abstract class Actor<M : Any>(protected val scope: CoroutineScope) {
    /** What was told; null: something lies with the urgent messages. */
    private val mailbox = Channel<M?>(Channel.UNLIMITED)
    private val urgent = ConcurrentLinkedQueue<M>()

    public fun tell(message: M) {
        val isUrgent = isUrgent(message)
        if (isUrgent) urgent.add(message)
        mailbox.trySend(message.takeUnless { isUrgent })
    }

    /** Urgent messages are received before all others that wait, and among themselves in their order. */
    protected open fun isUrgent(message: M): Boolean = false

    public open fun start() {
        scope.launch {
            for (message in mailbox) {
                while (true) handle(urgent.poll() ?: break)
                message?.let(::handle)
            }
        }
    }

    private fun handle(message: M) {
        try {
            receive(message)
        } catch (e: CancellationException) {
            throw e
        } catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
            LoggerFactory.getLogger("elderhitch.actor").error("message failed message={}", message, e)
        }
    }

    protected abstract fun receive(message: M)
}
