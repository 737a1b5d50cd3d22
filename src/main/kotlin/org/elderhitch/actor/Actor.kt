package org.elderhitch.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Owns its state; others only [tell] it things. [receive] never waits: what takes time is launched beside it and comes
 * back as a message, so that an actor's state changes in one place and never under its feet.
 */
public abstract class Actor<M : Any>(protected val scope: CoroutineScope) {
    private val mailbox = Channel<M>(Channel.UNLIMITED)

    public fun tell(message: M) {
        mailbox.trySend(message)
    }

    public open fun start() {
        scope.launch {
            for (message in mailbox) {
                try {
                    receive(message)
                } catch (e: CancellationException) {
                    throw e
                } catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
                    LoggerFactory.getLogger("elderhitch.actor").error("message failed message={}", message, e)
                }
            }
        }
    }

    protected abstract fun receive(message: M)
}
