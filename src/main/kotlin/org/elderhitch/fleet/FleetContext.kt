package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.settings.CloudLimits
import org.elderhitch.time.SteadyClock

/** What all parts of the [ProvisioningActor] share. Only the actor's own coroutine uses it, but for [tell]. */
internal class FleetContext(
    /** Where calls are launched that take time. */
    val scope: CoroutineScope,
    val clock: SteadyClock,
    val ports: FleetPorts,
    limits: CloudLimits,
    /** Sends a message to the actor itself: how the outcomes of launched calls come back. */
    val tell: (FleetMessage) -> Unit,
) {
    val term = FleetTerm()
    val calls = CloudCallScheduler(limits.requestsPerS * CloudCallScheduler.USABLE_SHARE)
    val actions = ActionLedger()

    /** Forgets all that belongs to the term before. */
    fun newTerm() {
        calls.newTerm()
        actions.newTerm()
    }
}
