package org.elderhitch.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * An actor: only the messages that it receives, one at a time, change its state.
 *
 * [receive] must not block: slow work is launched as a coroutine, which sends its result as another message. So the
 * state never changes while a message is being handled.
 */
public abstract class Actor<M : Any>(protected val scope: CoroutineScope) {
    /** Holds one element per message: the message itself, or null for a message that is in [urgentMessages]. */
    private val mailbox = Channel<M?>(Channel.UNLIMITED)
    private val urgentMessages = ConcurrentLinkedQueue<M>()

    /** Sends a message to this actor. Never blocks; may be called from any thread. */
    public fun tell(message: M) {
        val isUrgent = isUrgent(message)
        if (isUrgent) urgentMessages.add(message)
        mailbox.trySend(message.takeUnless { isUrgent })
    }

    /** Whether the message is received before pending non-urgent ones. Urgent messages are received in FIFO order. */
    protected open fun isUrgent(message: M): Boolean = false

    /** Starts receiving messages, beginning with those already sent. */
    public open fun start() {
        scope.launch {
            for (message in mailbox) {
                receiveUrgentMessages()
                message?.let(::receiveLoggingFailures)
            }
        }
    }

    private fun receiveUrgentMessages() {
        while (true) receiveLoggingFailures(urgentMessages.poll() ?: break)
    }

    /** Logs any exception except a cancellation, so that a failing message does not stop the actor. */
    private fun receiveLoggingFailures(message: M) {
        try {
            receive(message)
        } catch (e: CancellationException) {
            throw e
        } catch (@Suppress("TooGenericExceptionCaught") e: Exception) { // Any bug in a handler ends up here.
            LoggerFactory.getLogger("elderhitch.actor").error("message failed message={}", message, e)
        }
    }

    /** Handles one message. An exception is logged and does not stop the actor. */
    protected abstract fun receive(message: M)
}
