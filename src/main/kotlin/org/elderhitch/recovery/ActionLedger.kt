package org.elderhitch.recovery

import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Kind of action that a leader requests from workers or the cloud.
 *
 * [statusKey] is the key under `orders.given` in `/status`. Operators' tools read it, so it must not change.
 */
public enum class ActionKind(public val statusKey: String) {
    /** A task start sent to a worker. */
    START("start"),

    /** A task stop sent to a worker. */
    STOP("stop"),

    /** Permission for a worker to drop the record of an exited task. */
    REAP("reap"),

    /** A higher fencing token for one worker, which from then on refuses all direct requests sent before. */
    RAISE_TOKEN("raise_token"),

    /** A status probe sent to a worker's own address. */
    PROBE("ask"),

    /** A machine termination requested from the cloud. */
    TERMINATE("return"),

    /** A machine requested from the cloud. */
    PROVISION("hire"),
}

/**
 * Kind of action that turned out to be needless, named after the event that showed it.
 *
 * [statusKey] is the key under `orders.regret` in `/status`. Operators' tools read it, so it must not change.
 */
public enum class NeedlessActionKind(public val statusKey: String) {
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
 * The counts show how well a takeover went. Memory is bounded: a start or termination is kept only while it can still
 * be classified as needless, and at most [MAX_TRACKED] of each are kept.
 */
public class ActionLedger {
    private val actionCounts = LongArray(ActionKind.entries.size)
    private val needlessCounts = LongArray(NeedlessActionKind.entries.size)
    private var rateWindowStart = MonotonicInstant.NEVER
    private var actionsInRateWindow = 0
    private var peakPerSecond = 0

    private val recentStarts = LinkedHashMap<TaskId, MonotonicInstant>()
    private val terminatedSuspects = LinkedHashMap<MachineId, MonotonicInstant>()
    private val idleTerminations = HashMap<Market, ArrayDeque<MonotonicInstant>>()

    /** Resets all counts and tracked actions of the previous term. */
    public fun resetForNewTerm() {
        actionCounts.fill(0)
        needlessCounts.fill(0)
        rateWindowStart = MonotonicInstant.NEVER
        actionsInRateWindow = 0
        peakPerSecond = 0
        recentStarts.clear()
        terminatedSuspects.clear()
        idleTerminations.clear()
    }

    /** Counts [count] actions of [kind] taken at [now]. */
    public fun record(kind: ActionKind, count: Int, now: MonotonicInstant) {
        if (count == 0) return
        actionCounts[kind.ordinal] += count.toLong()
        if (now - rateWindowStart >= 1.seconds) {
            rateWindowStart = now
            actionsInRateWindow = 0
        }
        actionsInRateWindow += count
        peakPerSecond = maxOf(peakPerSecond, actionsInRateWindow)
    }

    /** Counts [count] earlier actions that proved needless. */
    public fun recordNeedless(kind: NeedlessActionKind, count: Int = 1) {
        needlessCounts[kind.ordinal] += count.toLong()
    }

    /** Counts the start of [task]. A start that is sent again keeps the time at which it was first sent. */
    public fun recordStart(task: TaskId, now: MonotonicInstant) {
        record(ActionKind.START, 1, now)
        if (task !in recentStarts) track(recentStarts, task, now, START_REVIEW_WINDOW)
    }

    /** Counts the stop of [task]; [requested] is true if its job has ended or its machine is about to be preempted. */
    public fun recordStop(task: TaskId, requested: Boolean, now: MonotonicInstant) {
        record(ActionKind.STOP, 1, now)
        val startedAt = recentStarts.remove(task)
        if (startedAt != null && !requested && now - startedAt <= START_REVIEW_WINDOW) {
            recordNeedless(NeedlessActionKind.START_STOPPED)
        }
    }

    /** Records that the cloud confirmed the termination of [machine], which was terminated as failed. */
    public fun recordSuspectGone(machine: MachineId, now: MonotonicInstant) {
        track(terminatedSuspects, machine, now, TERMINATION_REVIEW_WINDOW)
    }

    /** Records a message from [machine]. If the machine was recently terminated as failed, that was needless. */
    public fun recordMachineSeen(machine: MachineId, now: MonotonicInstant) {
        if (terminatedSuspects.isEmpty()) return
        val goneAt = terminatedSuspects.remove(machine) ?: return
        if (now - goneAt <= TERMINATION_REVIEW_WINDOW) recordNeedless(NeedlessActionKind.TERMINATED_WHILE_ALIVE)
    }

    /** Counts the termination of an idle machine of [market]. */
    public fun recordIdleTermination(market: Market, now: MonotonicInstant) {
        record(ActionKind.TERMINATE, 1, now)
        val terminations = idleTerminations.getOrPut(market) { ArrayDeque() }
        terminations.addLast(now)
        if (terminations.size > MAX_TRACKED) terminations.removeFirst()
    }

    /**
     * Records that the cloud provisioned [machines] machines of [market]. Up to as many recent idle terminations in
     * that market count as needless.
     */
    public fun recordProvisioned(market: Market, machines: Int, now: MonotonicInstant) {
        val terminations = idleTerminations[market] ?: return
        while (terminations.isNotEmpty() && now - terminations.first() > TERMINATION_REVIEW_WINDOW) {
            terminations.removeFirst()
        }
        val replaced = minOf(machines, terminations.size)
        repeat(replaced) { terminations.removeFirst() }
        recordNeedless(NeedlessActionKind.TERMINATED_THEN_PROVISIONED, replaced)
    }

    private fun <K> track(
        entries: LinkedHashMap<K, MonotonicInstant>,
        key: K,
        now: MonotonicInstant,
        retention: Duration,
    ) {
        entries[key] = now
        // Stops at the new entry at the latest, which is neither expired nor beyond the limit.
        val oldestFirst = entries.values.iterator()
        while (oldestFirst.hasNext()) {
            val recordedAt = oldestFirst.next()
            if (entries.size <= MAX_TRACKED && now - recordedAt <= retention) break
            oldestFirst.remove()
        }
    }

    /** Returns the counts for `/status` and the log: actions by kind, peak rate, and needless actions by kind. */
    public fun snapshot(): Map<String, Any?> = linkedMapOf(
        "given" to ActionKind.entries.associate { it.statusKey to actionCounts[it.ordinal] }.filterValues { it > 0 },
        "peak_per_s" to peakPerSecond,
        "regret" to
            NeedlessActionKind.entries.associate { it.statusKey to needlessCounts[it.ordinal] }.filterValues { it > 0 },
    )

    public companion object {
        /** A task start is needless if the task is stopped within this time. */
        public val START_REVIEW_WINDOW: Duration = 30.seconds

        /** A termination is needless if the machine sends a message or is replaced within this time. */
        public val TERMINATION_REVIEW_WINDOW: Duration = 60.seconds
        private const val MAX_TRACKED = 20_000
    }
}
