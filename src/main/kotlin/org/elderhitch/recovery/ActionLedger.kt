package org.elderhitch.recovery

import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Kind of action that a leader takes towards workers and the cloud.
 *
 * [statusWord] is the key under `orders.given` in `/status`; it is read by operators' tools and does not change.
 */
public enum class ActionKind(public val statusWord: String) {
    /** A task start sent to a worker. */
    START("start"),

    /** A task stop sent to a worker. */
    STOP("stop"),

    /** Permission for a worker to drop an exited task. */
    REAP("reap"),

    /** A status probe sent to a worker's own address. */
    PROBE("ask"),

    /** A machine termination requested from the cloud. */
    TERMINATE("return"),

    /** A machine requested from the cloud. */
    PROVISION("hire"),
}

/**
 * Kind of action that turned out to be needless, named by the evidence.
 *
 * [statusWord] is the key under `orders.regret` in `/status`; it is read by operators' tools and does not change.
 */
public enum class NeedlessActionKind(public val statusWord: String) {
    /**
     * A task was started and stopped again within [ActionLedger.START_REVIEW_WINDOW], although neither the end of its
     * job nor a preemption notice of its machine required the stop.
     */
    START_STOPPED("start_stopped"),

    /** A machine that was terminated as failed sent a message afterwards. */
    TERMINATED_WHILE_ALIVE("returned_spoke"),

    /**
     * A machine was terminated as idle, and another of the same market was provisioned within
     * [ActionLedger.TERMINATION_REVIEW_WINDOW].
     */
    TERMINATED_THEN_PROVISIONED("returned_hired"),

    /** A termination was cancelled before the request was sent. It cost nothing. */
    TERMINATION_CANCELLED("return_spared"),

    /** The cloud refused to provision a machine. */
    PROVISIONING_REFUSED("hire_refused"),

    /** A probe was not answered. */
    PROBE_FAILED("ask_in_vain"),
}

/**
 * Counts the actions of a leader in its term: how many of each kind, the peak rate, and how many proved needless.
 *
 * The counts show how well a takeover went. Memory is bounded: a start or termination is remembered only while it can
 * still be classified as needless, and at most [MAX_REMEMBERED] of each.
 */
public class ActionLedger {
    private val taken = LongArray(ActionKind.entries.size)
    private val needless = LongArray(NeedlessActionKind.entries.size)
    private var windowStart = MonotonicInstant.NEVER
    private var actionsInWindow = 0
    private var peakPerSecond = 0

    private val recentStarts = LinkedHashMap<TaskId, MonotonicInstant>()
    private val terminatedSuspects = LinkedHashMap<MachineId, MonotonicInstant>()
    private val idleTerminations = HashMap<Market, ArrayDeque<MonotonicInstant>>()

    /** Forgets everything about the previous term. */
    public fun newTerm() {
        taken.fill(0)
        needless.fill(0)
        windowStart = MonotonicInstant.NEVER
        actionsInWindow = 0
        peakPerSecond = 0
        recentStarts.clear()
        terminatedSuspects.clear()
        idleTerminations.clear()
    }

    /** Counts [count] actions of [kind] taken at [now]. */
    public fun record(kind: ActionKind, count: Int, now: MonotonicInstant) {
        if (count == 0) return
        taken[kind.ordinal] += count.toLong()
        if (now - windowStart >= 1.seconds) {
            windowStart = now
            actionsInWindow = 0
        }
        actionsInWindow += count
        peakPerSecond = maxOf(peakPerSecond, actionsInWindow)
    }

    /** Counts [count] earlier actions that proved needless. */
    public fun recordNeedless(kind: NeedlessActionKind, count: Int = 1) {
        needless[kind.ordinal] += count.toLong()
    }

    /** Counts the start of [task]. A start that is sent again keeps the time of its first sending. */
    public fun recordStart(task: TaskId, now: MonotonicInstant) {
        record(ActionKind.START, 1, now)
        if (task !in recentStarts) remember(recentStarts, task, now, START_REVIEW_WINDOW)
    }

    /** Counts the stop of [task]; [asked] is true if its job has ended or its machine is about to be preempted. */
    public fun recordStop(task: TaskId, asked: Boolean, now: MonotonicInstant) {
        record(ActionKind.STOP, 1, now)
        val startedAt = recentStarts.remove(task)
        if (startedAt != null && !asked && now - startedAt <= START_REVIEW_WINDOW) {
            recordNeedless(NeedlessActionKind.START_STOPPED)
        }
    }

    /** The cloud confirmed that [machine], terminated as failed, is gone. */
    public fun recordSuspectGone(machine: MachineId, now: MonotonicInstant) {
        remember(terminatedSuspects, machine, now, TERMINATION_REVIEW_WINDOW)
    }

    /** A message of [machine] arrived, which may have been terminated as failed before. */
    public fun machineSeen(machine: MachineId, now: MonotonicInstant) {
        if (terminatedSuspects.isEmpty()) return
        val goneAt = terminatedSuspects.remove(machine) ?: return
        if (now - goneAt <= TERMINATION_REVIEW_WINDOW) recordNeedless(NeedlessActionKind.TERMINATED_WHILE_ALIVE)
    }

    /** Counts the termination of an idle machine of [market]. */
    public fun recordIdleTermination(market: Market, now: MonotonicInstant) {
        record(ActionKind.TERMINATE, 1, now)
        val terminations = idleTerminations.getOrPut(market) { ArrayDeque() }
        terminations.addLast(now)
        if (terminations.size > MAX_REMEMBERED) terminations.removeFirst()
    }

    /** The cloud provisioned [machines] machines of [market]: as many recent idle terminations there were needless. */
    public fun recordProvisioned(market: Market, machines: Int, now: MonotonicInstant) {
        val terminations = idleTerminations[market] ?: return
        while (terminations.isNotEmpty() && now - terminations.first() > TERMINATION_REVIEW_WINDOW) {
            terminations.removeFirst()
        }
        val replaced = minOf(machines, terminations.size)
        repeat(replaced) { terminations.removeFirst() }
        recordNeedless(NeedlessActionKind.TERMINATED_THEN_PROVISIONED, replaced)
    }

    private fun <K> remember(
        entries: LinkedHashMap<K, MonotonicInstant>,
        key: K,
        now: MonotonicInstant,
        retention: Duration,
    ) {
        entries[key] = now
        // The loop ends at the new entry at the latest: it is neither too old nor beyond the limit.
        val oldestFirst = entries.values.iterator()
        while (oldestFirst.hasNext()) {
            val recordedAt = oldestFirst.next()
            if (entries.size <= MAX_REMEMBERED && now - recordedAt <= retention) break
            oldestFirst.remove()
        }
    }

    /** The counts for `/status` and the log: actions by kind, the peak rate, and needless actions by kind. */
    public fun snapshot(): Map<String, Any?> = linkedMapOf(
        "given" to ActionKind.entries.associate { it.statusWord to taken[it.ordinal] }.filterValues { it > 0 },
        "peak_per_s" to peakPerSecond,
        "regret" to
            NeedlessActionKind.entries.associate { it.statusWord to needless[it.ordinal] }.filterValues { it > 0 },
    )

    public companion object {
        /** For how long after its start a stop makes the start needless. */
        public val START_REVIEW_WINDOW: Duration = 30.seconds

        /** For how long after a termination a sign of life or a new machine makes the termination needless. */
        public val TERMINATION_REVIEW_WINDOW: Duration = 60.seconds
        private const val MAX_REMEMBERED = 20_000
    }
}
