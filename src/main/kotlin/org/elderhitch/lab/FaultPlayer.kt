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

/** Carries out the troubles of a schedule: each begins when it is played, and ends before [play] returns. */
internal class FaultPlayer(seed: Long, private val world: SimulatedCluster, private val users: SimulatedUsers) {
    private val log = LoggerFactory.getLogger("elderhitch.lab")
    private val random = Random(seed xor SALT)
    private val network = world.network
    private val cloud = world.platform.cloud
    private val down = HashSet<String>()
    private var outages = 0
    private var cloudOutages = 0

    suspend fun play(scope: CoroutineScope, trouble: Trouble) {
        log.debug(
            "storm trouble={} lasts_ms={} target={} from={}",
            trouble.kind.word,
            trouble.lasts.inWholeMilliseconds,
            trouble.target,
            trouble.from,
        )
        when (trouble.kind) {
            Kind.HANG -> hang(drawnWorkers(trouble), trouble.lasts)
            Kind.DIE -> cloud.machines().filter { it.up && drawn(trouble) }.forEach { world.platform.kill(it.id) }
            Kind.SPOT -> cloud.machines().filter { it.spot && drawn(trouble) }.forEach { cloud.remove(it.id) }
            Kind.SLOW_BOOT -> boots(trouble) { 1 + random.nextDouble() * trouble.share }
            Kind.FAST_BOOT -> boots(trouble) { FAST / StormLab.BOOT }
            Kind.ZONE -> cutZone(trouble)
            Kind.CRASH -> crash(listOf(nodeOf(trouble.target)), trouble.lasts)
            Kind.CRASH_ALL -> crash(world.names, trouble.lasts)
            Kind.ROLL -> roll(trouble)
            Kind.FREEZE -> freeze(trouble)
            Kind.CUT -> cutNode(trouble)
            Kind.REFUSED -> refuse(trouble)
            Kind.OUTAGE -> stateOutage(trouble)
            Kind.CLOUD -> cloudOutage(trouble)
            Kind.BURST -> users.burst(scope, trouble.share)
            Kind.WITHDRAWALS -> users.withdrawSome(scope, trouble.share)
            Kind.AT_END -> lasting(trouble, { users.withdrawsAtEnd = trouble.share }) { users.withdrawsAtEnd = 0.0 }
            Kind.LOOKS -> lasting(trouble, { users.looksClosely = true }) { users.looksClosely = false }
            Kind.ODD -> each(trouble.lasts, ODD_EVERY) { scope.launch { users.oddRequest() } }
            Kind.CALLED_OFF -> callOff(scope, trouble)
            Kind.SWARM -> each(trouble.lasts, SWARM_EVERY) { users.oneTask(scope) }
            else -> disturbMessages(trouble)
        }
    }

    /** The troubles of messages between machines, controllers and the state service. */
    private suspend fun disturbMessages(trouble: Trouble) {
        when (trouble.kind) {
            Kind.PEERS -> lasting(trouble, { network.peersRefuse = true }) { network.peersRefuse = false }
            Kind.LATE_COMMITS -> commits(trouble) { lateCommit(trouble) }
            Kind.LOST_ANSWERS -> commits(trouble) { if (drawn(trouble)) Fate.AnswerLost else Fate.Answered }
            Kind.LATE_REPORTS -> slowReports(trouble)
            Kind.LATE_COMMANDS -> lateCommands(trouble)
            Kind.DEAF -> drawnNames(trouble).let { lasting(trouble, { network.deaf += it }) { network.deaf -= it } }
            Kind.MUTE -> drawnNames(trouble).let { lasting(trouble, { network.mute += it }) { network.mute -= it } }
            Kind.COPIES -> lateCopies(trouble)
            Kind.KEPT_COPIES -> keptCopies(trouble)
            Kind.SLOW_STATE -> slowState(trouble)
            else -> error("${trouble.kind} is no trouble of messages")
        }
    }

    /** Whether the trouble happens to the machine or message in question. */
    private fun drawn(trouble: Trouble): Boolean = random.nextDouble() < trouble.share

    private fun drawnWorkers(trouble: Trouble): List<WorkerStandIn> =
        world.platform.workers().toSortedMap().values.filter { drawn(trouble) }

    private fun drawnNames(trouble: Trouble): Set<String> =
        world.platform.workers().keys.sorted().filter { drawn(trouble) }.toSet()

    private fun nodeOf(target: Int): String = if (target == Trouble.LEADER) {
        world.leader() ?: world.names[0]
    } else {
        world.names[target % world.names.size]
    }

    private suspend fun lasting(trouble: Trouble, begin: () -> Unit, end: () -> Unit) {
        begin()
        delay(trouble.lasts)
        end()
    }

    private suspend fun hang(machines: Collection<WorkerStandIn>, lasts: Duration) {
        machines.forEach { it.hang() }
        delay(lasts)
        machines.forEach { it.resume() }
    }

    private suspend fun callOff(scope: CoroutineScope, trouble: Trouble) {
        val machines = users.callOff(scope, trouble.share).sorted().take(MOST_HANGING)
        val hanging = if (trouble.lasts.isPositive()) {
            world.platform.workers().filterKeys { it in machines }.toSortedMap().values
        } else {
            emptyList()
        }
        hang(hanging, trouble.lasts)
    }

    private suspend fun boots(trouble: Trouble, factor: () -> Double) =
        lasting(trouble, { cloud.bootFactor = factor }) { cloud.bootFactor = { 1.0 } }

    private suspend fun roll(trouble: Trouble) {
        for (node in world.names) {
            crash(listOf(node), RESTART)
            delay((trouble.lasts - RESTART).coerceAtLeast(Duration.ZERO))
        }
    }

    private suspend fun freeze(trouble: Trouble) {
        val node = nodeOf(trouble.target)
        lasting(trouble, { world.freeze(node) }) { world.thaw(node) }
    }

    private suspend fun refuse(trouble: Trouble) {
        val node = nodeOf(trouble.target)
        lasting(trouble, { network.refused.add(node) }) { network.refused.remove(node) }
    }

    private suspend fun stateOutage(trouble: Trouble) {
        outages++
        world.platform.state.down = true
        delay(trouble.lasts)
        if (--outages == 0) world.platform.state.down = false
    }

    private suspend fun cloudOutage(trouble: Trouble) {
        cloudOutages++
        cloud.down = true
        delay(trouble.lasts)
        if (--cloudOutages == 0) cloud.down = false
    }

    private suspend fun commits(trouble: Trouble, fate: () -> Fate) =
        lasting(trouble, { network.fateOf = { _, _ -> fate() } }) { network.fateOf = { _, _ -> Fate.Answered } }

    private fun lateCommit(trouble: Trouble): Fate = if (!drawn(trouble)) {
        Fate.Answered
    } else if (random.nextBoolean()) {
        Fate.AnswerLost
    } else {
        Fate.Late(random.nextInt(1, 40).seconds)
    }

    private suspend fun slowReports(trouble: Trouble) {
        network.slowReports = { if (drawn(trouble)) random.nextInt(100, 45_000).milliseconds else Duration.ZERO }
        delay(trouble.lasts)
        network.slowReports = { Duration.ZERO }
    }

    private suspend fun lateCommands(trouble: Trouble) {
        network.lateCommands = { if (drawn(trouble)) random.nextInt(1, 60).seconds else null }
        delay(trouble.lasts)
        network.lateCommands = { null }
    }

    private suspend fun lateCopies(trouble: Trouble) {
        network.lateCopies = { if (drawn(trouble)) random.nextInt(2_000, 60_000).milliseconds else null }
        delay(trouble.lasts)
        network.lateCopies = { null }
    }

    private suspend fun keptCopies(trouble: Trouble) {
        network.keepsCopies = { drawn(trouble) }
        delay(trouble.lasts)
        network.keepsCopies = { false }
    }

    private suspend fun slowState(trouble: Trouble) {
        network.slowState = { if (drawn(trouble)) random.nextInt(100, 4_000).milliseconds else Duration.ZERO }
        delay(trouble.lasts)
        network.slowState = { Duration.ZERO }
    }

    private suspend fun cutZone(trouble: Trouble) {
        val zone = world.zones[trouble.target % world.zones.size]
        cut(trouble) { a, b -> parts(trouble, zone, a, b) }
    }

    private suspend fun cutNode(trouble: Trouble) {
        val node = nodeOf(trouble.target)
        cut(trouble) { a, b -> (a == node && lost(trouble, b)) || (b == node && lost(trouble, a)) }
    }

    private suspend fun each(lasts: Duration, every: Duration, what: () -> Unit) {
        repeat((lasts / every).toInt()) {
            what()
            delay(every)
        }
    }

    private fun parts(trouble: Trouble, zone: String, a: String, b: String): Boolean {
        val (here, there) = world.zoneOf(a) to world.zoneOf(b)
        if (trouble.from == Trouble.OTHER_ZONES && (here == null || there == null)) return false
        return (here == zone) != (there == zone)
    }

    private fun lost(trouble: Trouble, host: String): Boolean = when (trouble.from) {
        "state" -> host == "state"
        "workers" -> host.startsWith("host-")
        "peers" -> host in world.names
        Trouble.CORE -> host == "state" || host in world.names
        else -> true
    }

    private suspend fun cut(trouble: Trouble, separates: (String, String) -> Boolean) {
        val cut = Cut(trouble.mode, separates)
        world.network.cuts.add(cut)
        delay(trouble.lasts)
        world.network.heal(cut)
    }

    private suspend fun crash(nodes: List<String>, lasts: Duration) {
        val up = nodes.filter { down.add(it) }
        up.forEach(world::crash)
        delay(lasts)
        up.forEach {
            down.remove(it)
            world.startNode(it)
        }
    }

    private companion object {
        const val SALT = 0x5707L
        val FAST = 1500.milliseconds
        val ODD_EVERY = 700.milliseconds
        val SWARM_EVERY = 250.milliseconds
        const val MOST_HANGING = 8
        val RESTART = 5.seconds
    }
}
