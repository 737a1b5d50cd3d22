package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.leadership.Tenure
import org.elderhitch.recovery.OrderKind
import org.elderhitch.recovery.Orders
import org.elderhitch.recovery.RegretKind
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.MachineId
import org.slf4j.LoggerFactory

/** A machine that an intent of this term names. */
internal class HeldMachine(val machine: Machine, val intent: String, val hiredAt: Moment, val hiredHere: Boolean) {
    var failed = false

    /** It came up in an earlier term. */
    var upBefore = false
    var cameUp = false

    /** Its return was asked for, and nothing has come of that yet. */
    var releasing = false

    val market: Market get() = Market(machine.type, machine.zone, machine.spot)
}

/** Machines on their way back to the cloud: asked for, waiting for their turn, or under way. */
internal class Returns(
    private val scope: CoroutineScope,
    private val cloud: CloudClient,
    private val turns: CloudTurns,
    private val orders: Orders,
    private val held: Map<MachineId, HeldMachine>,
    private val clock: SteadyClock,
    private val ports: FleetPorts,
    private val tell: (FleetMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    fun want(leading: Tenure.Leading?, machines: List<MachineId>, reason: ReturnReason) {
        val wanted = machines.filter { held[it]?.releasing != true }
        wanted.forEach { held[it]?.releasing = true }
        turns.wantReturned(wanted, reason)
        leading?.let { send(it, clock.now()) }
    }

    /** Before an idle machine is returned the foreman gives it nothing more: a task that came there while its return waited for its turn was lost. */
    fun cordon(machines: List<MachineId>) {
        machines.forEach { held[it]?.releasing = true }
        ports.foreman(ForemanMessage.Cordon(machines))
    }

    fun cordoned(leading: Tenure.Leading?, message: FleetMessage.Cordoned) {
        message.inUse.forEach { held[it]?.releasing = false }
        turns.wantReturned(message.empty, ReturnReason.IDLE)
        leading?.let { send(it, clock.now()) }
    }

    /** Its worker speaks; if its return for silence has not gone out, it goes on. */
    fun spare(machine: MachineId) {
        if (!turns.spare(machine)) return
        log.info("return spared machine={}", machine)
        orders.regrets(RegretKind.RETURN_SPARED)
        held[machine]?.releasing = false
        ports.foreman(ForemanMessage.Spared(machine))
    }

    fun send(leading: Tenure.Leading, now: Moment) {
        if (!leading.mayCommand(now)) return
        while (true) {
            val batch = turns.returns(now).ifEmpty { return }
            for ((reason, its) in batch.entries.groupBy({
                it.value
            }, { it.key })) {
                log.info("release machines={} reason={}", its, reason.word)
            }
            for ((machine, reason) in batch) {
                val market = held[machine]?.market
                if (reason == ReturnReason.IDLE &&
                    market != null
                ) {
                    orders.returnedIdle(market, now)
                } else {
                    orders.gave(OrderKind.RETURN, 1, now)
                }
            }
            val names = batch.keys.toList()
            scope.launch {
                tell(FleetMessage.Released(leading.term, names, cloud.release(names) { ports.entitled(leading) }))
            }
        }
    }

    /** What is gone by the cloud's word. */
    fun answered(message: FleetMessage.Released): List<MachineId> {
        turns.returned()
        if (message.done) return message.machines
        message.machines.forEach { held[it]?.releasing = false }
        return emptyList()
    }
}
