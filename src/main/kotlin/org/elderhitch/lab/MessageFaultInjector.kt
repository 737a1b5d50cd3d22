package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Injects the faults of messages between machines, controllers and the state service. Each ends before its call of
 * [inject] returns.
 */
internal class MessageFaultInjector(private val cluster: SimulatedCluster, private val random: Random) {
    private val network = cluster.network

    suspend fun inject(fault: Fault) {
        when (fault.kind) {
            FaultKind.PEERS -> fault.takeEffect({ network.peersRefuse = true }) { network.peersRefuse = false }
            FaultKind.LATE_COMMITS -> disturbCommits(fault) { randomCommitFate(fault) }
            FaultKind.LOST_ANSWERS -> disturbCommits(fault) { randomAnswerLoss(fault) }
            FaultKind.LATE_REPORTS -> slowReports(fault)
            FaultKind.LATE_COMMANDS -> lateCommands(fault)
            FaultKind.DEAF -> keepFromReceiving(fault)
            FaultKind.MUTE -> keepFromConnecting(fault)
            FaultKind.COPIES -> lateCopies(fault)
            FaultKind.KEPT_COPIES -> keptCopies(fault)
            FaultKind.SLOW_STATE -> slowState(fault)
            else -> error("${fault.kind} is not a message fault")
        }
    }

    private fun affectedMachineIds(fault: Fault): Set<String> =
        cluster.platform.workers().keys.sorted().filter { fault.affectsNext(random) }.toSet()

    private suspend fun keepFromReceiving(fault: Fault) {
        val machines = affectedMachineIds(fault)
        fault.takeEffect({ network.unableToReceive += machines }) { network.unableToReceive -= machines }
    }

    private suspend fun keepFromConnecting(fault: Fault) {
        val machines = affectedMachineIds(fault)
        fault.takeEffect({ network.unableToConnect += machines }) { network.unableToConnect -= machines }
    }

    private suspend fun disturbCommits(fault: Fault, fate: () -> TransactionOutcome) =
        fault.takeEffect({ network.transactionOutcome = { _, _ -> fate() } }) {
            network.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
        }

    private fun randomCommitFate(fault: Fault): TransactionOutcome = if (!fault.affectsNext(random)) {
        TransactionOutcome.Answered
    } else if (random.nextBoolean()) {
        TransactionOutcome.AnswerLost
    } else {
        TransactionOutcome.Late(random.nextInt(1, 40).seconds)
    }

    private fun randomAnswerLoss(fault: Fault): TransactionOutcome =
        if (fault.affectsNext(random)) TransactionOutcome.AnswerLost else TransactionOutcome.Answered

    private suspend fun slowReports(fault: Fault) =
        fault.takeEffect({ network.slowReports = { delayIfAffected(fault, 100, 45_000) ?: Duration.ZERO } }) {
            network.slowReports = { Duration.ZERO }
        }

    private suspend fun lateCommands(fault: Fault) = fault.takeEffect({
        network.lateCommands = { if (fault.affectsNext(random)) random.nextInt(1, 60).seconds else null }
    }) { network.lateCommands = { null } }

    private suspend fun lateCopies(fault: Fault) =
        fault.takeEffect({ network.lateCopies = { delayIfAffected(fault, 2_000, 60_000) } }) {
            network.lateCopies = { null }
        }

    private suspend fun keptCopies(fault: Fault) =
        fault.takeEffect({ network.retainsHeartbeatCopy = { fault.affectsNext(random) } }) {
            network.retainsHeartbeatCopy = { false }
        }

    private suspend fun slowState(fault: Fault) =
        fault.takeEffect({ network.slowState = { delayIfAffected(fault, 100, 4_000) ?: Duration.ZERO } }) {
            network.slowState = { Duration.ZERO }
        }

    /** Draws a delay for the next message, null if the fault doesn't affect it. */
    private fun delayIfAffected(fault: Fault, fromMs: Int, untilMs: Int): Duration? =
        if (fault.affectsNext(random)) random.nextInt(fromMs, untilMs).milliseconds else null
}
