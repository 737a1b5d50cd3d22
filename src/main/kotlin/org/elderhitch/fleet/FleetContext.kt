package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.settings.CloudLimits
import org.elderhitch.time.SteadyClock

/**
 * State shared by the components of the [ProvisioningActor]. Except for [tell], it is confined to the actor's
 * coroutine.
 */
internal class FleetContext(
    /** The scope in which asynchronous calls are launched. */
    val scope: CoroutineScope,
    val clock: SteadyClock,
    val ports: FleetPorts,
    limits: CloudLimits,
    /** Sends a message to the actor itself, such as the outcome of an asynchronous call. */
    val tell: (FleetMessage) -> Unit,
) {
    val term = FleetTerm()
    val calls = CloudCallScheduler(limits.requestsPerS * CloudCallScheduler.USABLE_SHARE)
    val actions = ActionLedger()

    /** Discards the state of the previous term. */
    fun resetForNewTerm() {
        calls.resetForNewTerm()
        actions.resetForNewTerm()
    }
}
