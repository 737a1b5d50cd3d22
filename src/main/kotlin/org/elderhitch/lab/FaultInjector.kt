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
    private val messageFaults = MessageFaultInjector(cluster, random)
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
            FaultKind.DIE -> killMachines(fault)
            FaultKind.SPOT -> removeSpotMachines(fault)
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
            FaultKind.AT_END -> withdrawAtEnd(fault)
            FaultKind.LOOKS -> fault.takeEffect({ users.checksAllNodes = true }) { users.checksAllNodes = false }
            FaultKind.ODD -> repeatFor(fault.lasts, ODD_REQUEST_INTERVAL) { scope.launch { users.sendOddRequest() } }
            FaultKind.CALLED_OFF -> withdrawRunning(scope, fault)
            FaultKind.SWARM -> repeatFor(fault.lasts, SWARM_INTERVAL) { users.submitOneTaskJob(scope) }
            FaultKind.REPEATS -> repeats.repeatRequests(fault)
            FaultKind.TASK_FAILURES -> repeats.failTasks(fault)
            else -> messageFaults.inject(fault)
        }
    }

    private fun affectedWorkers(fault: Fault): List<WorkerStandIn> =
        cluster.platform.workers().toSortedMap().values.filter { fault.affectsNext(random) }

    private fun nodeOf(target: Int): String = if (target == Fault.LEADER) {
        cluster.leader() ?: cluster.names[0]
    } else {
        cluster.names[target % cluster.names.size]
    }

    private fun killMachines(fault: Fault) =
        cloud.machines().filter { it.up && fault.affectsNext(random) }.forEach { cluster.platform.kill(it.id) }

    private fun removeSpotMachines(fault: Fault) =
        cloud.machines().filter { it.spot && fault.affectsNext(random) }.forEach { cloud.remove(it.id) }

    private suspend fun withdrawAtEnd(fault: Fault) =
        fault.takeEffect({ users.withdrawAtEndShare = fault.share }) { users.withdrawAtEndShare = 0.0 }

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
        fault.takeEffect({ cloud.bootFactor = factor }) { cloud.bootFactor = { 1.0 } }

    private suspend fun restartNodesInTurn(fault: Fault) {
        for (node in cluster.names) {
            crash(listOf(node), RESTART_DELAY)
            delay((fault.lasts - RESTART_DELAY).coerceAtLeast(Duration.ZERO))
        }
    }

    private suspend fun pauseNode(fault: Fault) {
        val node = nodeOf(fault.target)
        fault.takeEffect({ cluster.pauseNode(node) }) { cluster.resumeNode(node) }
    }

    private suspend fun refuseNode(fault: Fault) {
        val node = nodeOf(fault.target)
        fault.takeEffect({ network.refused.add(node) }) { network.refused.remove(node) }
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
