package org.elderhitch.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * An object whose state is only changed by the messages that it receives, one at a time.
 *
 * [receive] must not wait: slow work is launched as a coroutine, whose result comes back as another message. So the
 * state never changes while a message is being handled.
 */
public abstract class Actor<M : Any>(protected val scope: CoroutineScope) {
    /** One element per message: the message, or null in place of one that was added to [urgentMessages]. */
    private val mailbox = Channel<M?>(Channel.UNLIMITED)
    private val urgentMessages = ConcurrentLinkedQueue<M>()

    /** Sends a message. Returns at once, and may be called from any thread. */
    public fun tell(message: M) {
        val isUrgent = isUrgent(message)
        if (isUrgent) urgentMessages.add(message)
        mailbox.trySend(message.takeUnless { isUrgent })
    }

    /** Whether the message overtakes those that aren't urgent. Urgent messages keep their order among themselves. */
    protected open fun isUrgent(message: M): Boolean = false

    /** Starts to receive messages; those that were sent earlier are received first. */
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

    /** A message that fails must not end the actor, whichever exception it fails with. */
    private fun receiveLoggingFailures(message: M) {
        try {
            receive(message)
        } catch (e: CancellationException) {
            throw e
        } catch (@Suppress("TooGenericExceptionCaught") e: Exception) { // See above: any bug in a handler ends up here.
            LoggerFactory.getLogger("elderhitch.actor").error("message failed message={}", message, e)
        }
    }

    /** Handles one message. An exception is logged, and the next message is received. */
    protected abstract fun receive(message: M)
}
