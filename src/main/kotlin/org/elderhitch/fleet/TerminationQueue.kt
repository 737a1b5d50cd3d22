package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory

/** A machine that an intent of this term names. */
internal class ProvisionedMachine(
    val machine: Machine,
    val intent: String,
    val hiredAt: MonotonicInstant,
    val hiredHere: Boolean,
) {
    var failed = false

    /** It came up in an earlier term. */
    var upBefore = false
    var cameUp = false

    /** Its return was asked for, and nothing has come of that yet. */
    var releasing = false

    val market: Market get() = Market(machine.type, machine.zone, machine.spot)
}

/** Machines on their way back to the cloud: asked for, waiting for their turn, or under way. */
internal class TerminationQueue(
    private val scope: CoroutineScope,
    private val cloud: CloudClient,
    private val turns: CloudCallScheduler,
    private val orders: ActionLedger,
    private val held: Map<MachineId, ProvisionedMachine>,
    private val clock: SteadyClock,
    private val ports: FleetPorts,
    private val tell: (FleetMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    fun want(leadership: LeadershipState.Leader?, machines: List<MachineId>, reason: TerminationReason) {
        val wanted = machines.filter { held[it]?.releasing != true }
        wanted.forEach { held[it]?.releasing = true }
        turns.wantReturned(wanted, reason)
        leadership?.let { send(it, clock.now()) }
    }

    /**
     * Before an idle machine is returned the foreman gives it nothing more: a task that came there while its return
     * waited for its turn was lost.
     */
    fun cordon(machines: List<MachineId>) {
        machines.forEach { held[it]?.releasing = true }
        ports.scheduler(SchedulerMessage.CordonMachines(machines))
    }

    fun cordoned(leadership: LeadershipState.Leader?, message: FleetMessage.MachinesCordoned) {
        message.inUse.forEach { held[it]?.releasing = false }
        turns.wantReturned(message.empty, TerminationReason.IDLE)
        leadership?.let { send(it, clock.now()) }
    }

    /** Its worker speaks; if its return for silence has not gone out, it goes on. */
    fun spare(machine: MachineId) {
        if (!turns.spare(machine)) return
        log.info("return spared machine={}", machine)
        orders.recordNeedless(NeedlessActionKind.TERMINATION_CANCELLED)
        held[machine]?.releasing = false
        ports.scheduler(SchedulerMessage.TerminationCancelled(machine))
    }

    fun send(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (!leadership.maySendCommands(now)) return
        while (true) {
            val batch = turns.returns(now).ifEmpty { return }
            for ((reason, its) in batch.entries.groupBy({
                it.value
            }, { it.key })) {
                log.info("release machines={} reason={}", its, reason.word)
            }
            for ((machine, reason) in batch) {
                val market = held[machine]?.market
                if (reason == TerminationReason.IDLE &&
                    market != null
                ) {
                    orders.recordIdleTermination(market, now)
                } else {
                    orders.record(ActionKind.TERMINATE, 1, now)
                }
            }
            val names = batch.keys.toList()
            scope.launch {
                tell(
                    FleetMessage.MachinesTerminated(
                        leadership.term,
                        names,
                        cloud.terminate(names) {
                            ports.entitled(leadership)
                        },
                    ),
                )
            }
        }
    }

    /** What is gone by the cloud's word. */
    fun answered(message: FleetMessage.MachinesTerminated): List<MachineId> {
        turns.returned()
        if (message.done) return message.machines
        message.machines.forEach { held[it]?.releasing = false }
        return emptyList()
    }
}
