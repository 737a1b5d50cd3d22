package org.elderhitch.recovery

import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Kinds of orders that a leader gives, by the words of `/status` and of the lab. */
public enum class ActionKind { START, STOP, REAP, ASK, RETURN, HIRE }

/** Orders that turned out to be needless, by what showed it. */
public enum class NeedlessActionKind {
    /**
     * A task was started and stopped again within [ActionLedger.SOON], and neither its job's end nor a machine's notice
     * asked for that.
     */
    START_STOPPED,

    /** A machine was returned for its silence and spoke afterwards. */
    RETURNED_SPOKE,

    /** A machine was returned as idle and another of its market hired within [ActionLedger.AGAIN]. */
    RETURNED_HIRED,

    /** A return was asked for, and taken back before it went out: it cost nothing. */
    RETURN_SPARED,
    HIRE_REFUSED,
    ASK_IN_VAIN,
}

/**
 * What a leader ordered in its term, how much of it at once, and what of it was needless: by this a takeover is judged,
 * and whoever changes how one goes.
 * Bounded: starts and returns are remembered for as long as they can be regretted, and no more than [MOST] of each.
 */
public class ActionLedger {
    private val given = LongArray(ActionKind.entries.size)
    private val regrets = LongArray(NeedlessActionKind.entries.size)
    private var second = MonotonicInstant.NEVER
    private var inSecond = 0
    private var peak = 0

    private val started = LinkedHashMap<TaskId, MonotonicInstant>()
    private val silent = LinkedHashMap<MachineId, MonotonicInstant>()
    private val idle = HashMap<Market, ArrayDeque<MonotonicInstant>>()

    public fun newTerm() {
        given.fill(0)
        regrets.fill(0)
        second = MonotonicInstant.NEVER
        inSecond = 0
        peak = 0
        started.clear()
        silent.clear()
        idle.clear()
    }

    public fun gave(kind: ActionKind, count: Int, now: MonotonicInstant) {
        if (count == 0) return
        given[kind.ordinal] += count.toLong()
        if (now - second >= 1.seconds) {
            second = now
            inSecond = 0
        }
        inSecond += count
        peak = maxOf(peak, inSecond)
    }

    public fun regrets(kind: NeedlessActionKind, count: Int = 1) {
        regrets[kind.ordinal] += count.toLong()
    }

    public fun started(task: TaskId, now: MonotonicInstant) {
        gave(ActionKind.START, 1, now)
        // A start that is sent again is the same start.
        if (task !in started) remember(started, task, now, SOON)
    }

    /** [asked]: its job has ended, or its machine is taken back. */
    public fun stopped(task: TaskId, asked: Boolean, now: MonotonicInstant) {
        gave(ActionKind.STOP, 1, now)
        val since = started.remove(task)
        if (since != null && !asked && now - since <= SOON) regrets(NeedlessActionKind.START_STOPPED)
    }

    /** The cloud says that it is gone, after it was returned for its silence. */
    public fun returnedSilent(machine: MachineId, now: MonotonicInstant) {
        remember(silent, machine, now, AGAIN)
    }

    /** A machine says something, of which we may have thought that it was gone. */
    public fun spoke(machine: MachineId, now: MonotonicInstant) {
        if (silent.isEmpty()) return
        val since = silent.remove(machine) ?: return
        if (now - since <= AGAIN) regrets(NeedlessActionKind.RETURNED_SPOKE)
    }

    public fun returnedIdle(market: Market, now: MonotonicInstant) {
        gave(ActionKind.RETURN, 1, now)
        val its = idle.getOrPut(market) { ArrayDeque() }
        its.addLast(now)
        if (its.size > MOST) its.removeFirst()
    }

    public fun hired(market: Market, machines: Int, now: MonotonicInstant) {
        val its = idle[market] ?: return
        while (its.isNotEmpty() && now - its.first() > AGAIN) its.removeFirst()
        val again = minOf(machines, its.size)
        repeat(again) { its.removeFirst() }
        regrets(NeedlessActionKind.RETURNED_HIRED, again)
    }

    private fun <K> remember(where: LinkedHashMap<K, MonotonicInstant>, key: K, now: MonotonicInstant, span: Duration) {
        where[key] = now
        // The one just put in is neither too many nor too old.
        val oldest = where.values.iterator()
        while (oldest.hasNext()) {
            val at = oldest.next()
            if (where.size <= MOST && now - at <= span) break
            oldest.remove()
        }
    }

    /** For `/status` and the log: counts by kind, the most orders within a second, and regrets. */
    public fun read(): Map<String, Any?> = linkedMapOf(
        "given" to ActionKind.entries.associate { it.name.lowercase() to given[it.ordinal] }.filterValues { it > 0 },
        "peak_per_s" to peak,
        "regret" to
            NeedlessActionKind.entries.associate { it.name.lowercase() to regrets[it.ordinal] }.filterValues { it > 0 },
    )

    public companion object {
        public val SOON: Duration = 30.seconds
        public val AGAIN: Duration = 60.seconds
        private const val MOST = 20_000
    }
}
