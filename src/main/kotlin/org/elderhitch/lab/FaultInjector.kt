package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.standin.WorkerStandIn
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Injects the faults of a schedule into a simulated cluster. Each ends before its call of [inject] returns. */
internal class FaultInjector(seed: Long, private val cluster: SimulatedCluster, private val users: SimulatedUsers) {
    private val log = LoggerFactory.getLogger("elderhitch.lab")
    private val random = Random(seed xor SEED_SALT)
    private val network = cluster.network
    private val repeats = RepeatFaults(seed, cluster)
    private val cloud = cluster.platform.cloud
    private val down = HashSet<String>()
    private var stateOutages = 0
    private var cloudOutages = 0

    suspend fun inject(scope: CoroutineScope, fault: Fault) {
        log.debug(
            "storm trouble={} lasts_ms={} target={} from={}",
            fault.kind.word,
            fault.lasts.inWholeMilliseconds,
            fault.target,
            fault.from,
        )
        when (fault.kind) {
            FaultKind.HANG -> hang(affectedWorkers(fault), fault.lasts)
            FaultKind.DIE -> cloud.machines().filter {
                it.up && isAffected(fault)
            }.forEach { cluster.platform.kill(it.id) }
            FaultKind.SPOT -> cloud.machines().filter { it.spot && isAffected(fault) }.forEach { cloud.remove(it.id) }
            FaultKind.SLOW_BOOT -> changeBootTime(fault) { 1 + random.nextDouble() * fault.share }
            FaultKind.FAST_BOOT -> changeBootTime(fault) { FAST_BOOT_TIME / StormLab.BOOT }
            FaultKind.ZONE -> cutZone(fault)
            FaultKind.CRASH -> crash(listOf(nodeOf(fault.target)), fault.lasts)
            FaultKind.CRASH_ALL -> crash(cluster.names, fault.lasts)
            FaultKind.ROLL -> restartNodesInTurn(fault)
            FaultKind.FREEZE -> pauseNode(fault)
            FaultKind.CUT -> cutNode(fault)
            FaultKind.REFUSED -> refuseNode(fault)
            FaultKind.OUTAGE -> stateOutage(fault)
            FaultKind.CLOUD -> cloudOutage(fault)
            FaultKind.BURST -> users.burst(scope, fault.share)
            FaultKind.WITHDRAWALS -> users.withdrawOpen(scope, fault.share)
            FaultKind.AT_END -> forDuration(fault, { users.withdrawAtEndShare = fault.share }) {
                users.withdrawAtEndShare =
                    0.0
            }
            FaultKind.LOOKS -> forDuration(fault, { users.checksAllNodes = true }) { users.checksAllNodes = false }
            FaultKind.ODD -> repeatFor(fault.lasts, ODD_REQUEST_INTERVAL) { scope.launch { users.sendOddRequest() } }
            FaultKind.CALLED_OFF -> withdrawRunning(scope, fault)
            FaultKind.SWARM -> repeatFor(fault.lasts, SWARM_INTERVAL) { users.submitOneTaskJob(scope) }
            else -> disturbMessages(fault)
        }
    }

    /** Injects faults of messages between machines, controllers and the state service. */
    private suspend fun disturbMessages(fault: Fault) {
        when (fault.kind) {
            FaultKind.PEERS -> forDuration(fault, { network.peersRefuse = true }) { network.peersRefuse = false }
            FaultKind.LATE_COMMITS -> disturbCommits(fault) { randomCommitFate(fault) }
            FaultKind.LOST_ANSWERS -> disturbCommits(fault) {
                if (isAffected(fault)) TransactionOutcome.AnswerLost else TransactionOutcome.Answered
            }
            FaultKind.LATE_REPORTS -> slowReports(fault)
            FaultKind.LATE_COMMANDS -> lateCommands(fault)
            FaultKind.DEAF -> affectedMachineIds(fault).let {
                forDuration(fault, { network.unableToReceive += it }) {
                    network.unableToReceive -=
                        it
                }
            }
            FaultKind.MUTE -> affectedMachineIds(fault).let {
                forDuration(fault, { network.unableToConnect += it }) {
                    network.unableToConnect -=
                        it
                }
            }
            FaultKind.COPIES -> lateCopies(fault)
            FaultKind.KEPT_COPIES -> keptCopies(fault)
            FaultKind.SLOW_STATE -> slowState(fault)
            FaultKind.REPEATS -> repeats.repeatRequests(fault)
            FaultKind.TASK_FAILURES -> repeats.failTasks(fault)
            else -> error("${fault.kind} is not a message fault")
        }
    }

    /** Draws whether the fault affects a machine or message. */
    private fun isAffected(fault: Fault): Boolean = random.nextDouble() < fault.share

    private fun affectedWorkers(fault: Fault): List<WorkerStandIn> =
        cluster.platform.workers().toSortedMap().values.filter { isAffected(fault) }

    private fun affectedMachineIds(fault: Fault): Set<String> =
        cluster.platform.workers().keys.sorted().filter { isAffected(fault) }.toSet()

    private fun nodeOf(target: Int): String = if (target == Fault.LEADER) {
        cluster.leader() ?: cluster.names[0]
    } else {
        cluster.names[target % cluster.names.size]
    }

    private suspend fun forDuration(fault: Fault, begin: () -> Unit, end: () -> Unit) {
        begin()
        delay(fault.lasts)
        end()
    }

    private suspend fun hang(machines: Collection<WorkerStandIn>, lasts: Duration) {
        machines.forEach { it.hang() }
        delay(lasts)
        machines.forEach { it.resume() }
    }

    private suspend fun withdrawRunning(scope: CoroutineScope, fault: Fault) {
        val machines = users.withdrawRunning(scope, fault.share).sorted().take(MAX_HANGING)
        val hanging = if (fault.lasts.isPositive()) {
            cluster.platform.workers().filterKeys { it in machines }.toSortedMap().values
        } else {
            emptyList()
        }
        hang(hanging, fault.lasts)
    }

    private suspend fun changeBootTime(fault: Fault, factor: () -> Double) =
        forDuration(fault, { cloud.bootFactor = factor }) { cloud.bootFactor = { 1.0 } }

    private suspend fun restartNodesInTurn(fault: Fault) {
        for (node in cluster.names) {
            crash(listOf(node), RESTART_DELAY)
            delay((fault.lasts - RESTART_DELAY).coerceAtLeast(Duration.ZERO))
        }
    }

    private suspend fun pauseNode(fault: Fault) {
        val node = nodeOf(fault.target)
        forDuration(fault, { cluster.pauseNode(node) }) { cluster.resumeNode(node) }
    }

    private suspend fun refuseNode(fault: Fault) {
        val node = nodeOf(fault.target)
        forDuration(fault, { network.refused.add(node) }) { network.refused.remove(node) }
    }

    private suspend fun stateOutage(fault: Fault) {
        stateOutages++
        cluster.platform.state.down = true
        delay(fault.lasts)
        if (--stateOutages == 0) cluster.platform.state.down = false
    }

    private suspend fun cloudOutage(fault: Fault) {
        cloudOutages++
        cloud.down = true
        delay(fault.lasts)
        if (--cloudOutages == 0) cloud.down = false
    }

    private suspend fun disturbCommits(fault: Fault, fate: () -> TransactionOutcome) =
        forDuration(fault, { network.transactionOutcome = { _, _ -> fate() } }) {
            network.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
        }

    private fun randomCommitFate(fault: Fault): TransactionOutcome = if (!isAffected(fault)) {
        TransactionOutcome.Answered
    } else if (random.nextBoolean()) {
        TransactionOutcome.AnswerLost
    } else {
        TransactionOutcome.Late(random.nextInt(1, 40).seconds)
    }

    private suspend fun slowReports(fault: Fault) {
        network.slowReports = { if (isAffected(fault)) random.nextInt(100, 45_000).milliseconds else Duration.ZERO }
        delay(fault.lasts)
        network.slowReports = { Duration.ZERO }
    }

    private suspend fun lateCommands(fault: Fault) {
        network.lateCommands = { if (isAffected(fault)) random.nextInt(1, 60).seconds else null }
        delay(fault.lasts)
        network.lateCommands = { null }
    }

    private suspend fun lateCopies(fault: Fault) {
        network.lateCopies = { if (isAffected(fault)) random.nextInt(2_000, 60_000).milliseconds else null }
        delay(fault.lasts)
        network.lateCopies = { null }
    }

    private suspend fun keptCopies(fault: Fault) {
        network.retainsHeartbeatCopy = { isAffected(fault) }
        delay(fault.lasts)
        network.retainsHeartbeatCopy = { false }
    }

    private suspend fun slowState(fault: Fault) {
        network.slowState = { if (isAffected(fault)) random.nextInt(100, 4_000).milliseconds else Duration.ZERO }
        delay(fault.lasts)
        network.slowState = { Duration.ZERO }
    }

    private suspend fun cutZone(fault: Fault) {
        val zone = cluster.zones[fault.target % cluster.zones.size]
        cut(fault) { a, b -> separatesZone(fault, zone, a, b) }
    }

    private suspend fun cutNode(fault: Fault) {
        val node = nodeOf(fault.target)
        cut(fault) { a, b -> (a == node && losesContact(fault, b)) || (b == node && losesContact(fault, a)) }
    }

    private suspend fun repeatFor(lasts: Duration, every: Duration, what: () -> Unit) {
        repeat((lasts / every).toInt()) {
            what()
            delay(every)
        }
    }

    private fun separatesZone(fault: Fault, zone: String, a: String, b: String): Boolean {
        val (here, there) = cluster.zoneOf(a) to cluster.zoneOf(b)
        if (fault.from == Fault.OTHER_ZONES && (here == null || there == null)) return false
        return (here == zone) != (there == zone)
    }

    private fun losesContact(fault: Fault, host: String): Boolean = when (fault.from) {
        "state" -> host == "state"
        "workers" -> host.startsWith("host-")
        "peers" -> host in cluster.names
        Fault.CORE -> host == "state" || host in cluster.names
        else -> true
    }

    private suspend fun cut(fault: Fault, separates: (String, String) -> Boolean) {
        val cut = Cut(fault.mode, separates)
        cluster.network.cuts.add(cut)
        delay(fault.lasts)
        cluster.network.heal(cut)
    }

    private suspend fun crash(nodes: List<String>, lasts: Duration) {
        val up = nodes.filter { down.add(it) }
        up.forEach(cluster::crash)
        delay(lasts)
        up.forEach {
            down.remove(it)
            cluster.startNode(it)
        }
    }

    private companion object {
        const val SEED_SALT = 0x5707L
        val FAST_BOOT_TIME = 1500.milliseconds
        val ODD_REQUEST_INTERVAL = 700.milliseconds
        val SWARM_INTERVAL = 250.milliseconds
        const val MAX_HANGING = 8
        val RESTART_DELAY = 5.seconds
    }
}
