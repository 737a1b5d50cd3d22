package org.elderhitch.leadership

import org.elderhitch.delegates.DelegationRules
import org.elderhitch.delegates.ZoneStatus
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.CLOCK_DRIFT
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.shortened
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The guard that a simulation omits, of those that make cancelled tasks end in time. */
internal enum class OmittedGuard {
    NONE,

    /** A leader's windows start with its renewals only, regardless of its freshness checks. */
    FRESHNESS_CHECK,

    /** After its command window a leader answers heartbeats without the stops of cancelled tasks. */
    LATE_STOPS,

    /** A delegation is limited by when the cancellation was read instead of when it may have been recorded. */
    RECORDING_TIME,
}

private val workers = WorkerTimeouts(3.seconds, 17.5.seconds, 45.seconds, 5.seconds, 47.5.seconds)
private val timeouts = LeadershipTimeouts.of(workers)
private val zone = Zone("b")

/**
 * A leader with its own drifting clock. All durations here are true time since the start of the simulation.
 */
private class SimulatedLeader(
    private val drift: Double,
    private val claimedAt: Duration,
    private val omittedGuard: OmittedGuard,
) {
    var renewedAt = claimedAt
    var freshAsOf = claimedAt

    /** The last freshness check before the one that showed the cancellation; null if the cancellation is not read. */
    var cancellationRecordedAfter: Duration? = null
        private set
    private var cancellationReadAt: Duration? = null

    /** Whether it read the cancellation before it led, so that the task belongs to no job in its table. */
    var hasTaskOfUnknownJob = false
    private val delegations = DelegationRules(timeouts)

    fun localTime(time: Duration): MonotonicInstant = MonotonicInstant(0) + 1000.seconds + time * (1 + drift)

    fun capabilities(): LeaderCapabilities {
        val effectiveFreshAsOf = if (omittedGuard == OmittedGuard.FRESHNESS_CHECK) renewedAt else freshAsOf
        return timeouts.capabilities(localTime(renewedAt), localTime(effectiveFreshAsOf))
    }

    fun checkFreshness(sentAt: Duration, cancelledAt: Duration, now: Duration) {
        if (sentAt >= cancelledAt && cancellationRecordedAfter == null) {
            cancellationRecordedAfter = freshAsOf
            cancellationReadAt = now
        }
        freshAsOf = maxOf(freshAsOf, sentAt)
    }

    fun mayAnswer(now: Duration): Boolean = localTime(now) < capabilities().answerWindowEnd

    fun sendsStops(now: Duration): Boolean {
        val mayStop = omittedGuard != OmittedGuard.LATE_STOPS || localTime(now) < capabilities().commandWindowEnd
        return cancellationRecordedAfter != null && mayStop
    }

    /** The end, on this leader's clock, of a delegation granted now; null if none is granted. */
    fun grantDelegation(now: Duration): MonotonicInstant? {
        val oldestTerminalState =
            if (omittedGuard == OmittedGuard.RECORDING_TIME) cancellationReadAt else cancellationRecordedAfter
        val status = ZoneStatus(0, if (hasTaskOfUnknownJob) 1 else 0, oldestTerminalState?.let(::localTime))
        val offer = delegations.grantDelegation(leadershipState(), zone, status, localTime(now)) ?: return null
        return localTime(now) + offer.duration.shortened()
    }

    private fun leadershipState(): LeadershipState.Leader {
        val capabilities = capabilities()
        return LeadershipState.Leader(
            Term(2),
            Revision(1),
            LeaseId(1),
            capabilities.commandWindowEnd,
            capabilities.answerWindowEnd,
            null,
            localTime(claimedAt),
        )
    }
}

private class SimulatedDelegation(val leader: SimulatedLeader, val until: MonotonicInstant)

/**
 * Simulates a random schedule of successive terms, of renewals and freshness checks that succeed, fail or are answered
 * late, of a job whose cancellation is confirmed to its user, of a worker whose heartbeats may be answered, of lease
 * delegates, and of processes that pause between a check and the action that depends on it.
 */
internal class CancellationSimulation(seed: Int, private val omittedGuard: OmittedGuard) {
    private val random = Random(seed)
    private val cancelledAt = 60.seconds + randomDuration(0, 20_000)
    private var leader = newLeader(Duration.ZERO)
    private val previousLeaders = ArrayList<SimulatedLeader>()
    private val delegations = ArrayList<SimulatedDelegation>()
    private val workerDrift = randomDrift()
    private var leaseEnd = 60.seconds
    private var isStopped = false
    private var now = Duration.ZERO

    // Independent periods in which renewals succeed, freshness checks succeed, or only a lease delegate is reachable.
    private var renewalsSucceedUntil = Duration.ZERO
    private var freshnessChecksSucceedUntil = Duration.ZERO
    private var freshnessOutageDuration = randomDuration(2_000, 70_000)
    private var onlyDelegateReachableUntil = Duration.ZERO

    private fun randomDuration(fromMs: Int, untilMs: Int): Duration = random.nextInt(fromMs, untilMs).milliseconds

    private fun randomDrift(): Double = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT

    private fun newLeader(claimedAt: Duration) = SimulatedLeader(randomDrift(), claimedAt, omittedGuard)

    /** Runs the simulation. Returns by how much the task exceeded its cancellation deadline, or null if it did not. */
    fun overrun(): Duration? {
        while (now < SIMULATED_TIME && !isStopped) {
            now += randomDuration(100, 900)
            schedulePeriods()
            renewAndCheckFreshness()
            changeLeader()
            leader.grantDelegation(now)?.let { delegations.add(SimulatedDelegation(leader, it)) }
            if (now < cancelledAt) {
                leaseEnd = now + workers.lease
                continue
            }
            if (now > leaseEnd) return null
            if (random.nextInt(4) == 0) sendHeartbeat()
        }
        val end = if (isStopped) now else leaseEnd
        return (end - cancelledAt - workers.cancel).takeIf { it.isPositive() }
    }

    private fun schedulePeriods() {
        if (now > renewalsSucceedUntil + 15.seconds) renewalsSucceedUntil = now + randomDuration(0, 60_000)
        if (now > freshnessChecksSucceedUntil + freshnessOutageDuration) {
            freshnessChecksSucceedUntil = now + randomDuration(0, 40_000)
            freshnessOutageDuration = randomDuration(2_000, 70_000)
        }
        if (now > onlyDelegateReachableUntil + 30.seconds && random.nextInt(40) == 0) {
            onlyDelegateReachableUntil = now + randomDuration(0, 40_000)
        }
    }

    private fun renewAndCheckFreshness() {
        if (now < renewalsSucceedUntil) leader.renewedAt = now - randomDuration(1, 90)
        if (now < freshnessChecksSucceedUntil) leader.checkFreshness(now - randomDuration(1, 90), cancelledAt, now)
    }

    /** Another node claims after the lease has expired. It knows what its own watch had read before its claim. */
    private fun changeLeader() {
        if (now - leader.renewedAt <= timeouts.commandWindow || random.nextInt(30) != 0) return
        previousLeaders.add(leader)
        leader = newLeader(now)
        val freshAsOf = now - randomDuration(0, 10_000)
        if (freshAsOf >= cancelledAt) {
            leader.checkFreshness(freshAsOf, cancelledAt, now)
            leader.hasTaskOfUnknownJob = true
        }
        leader.freshAsOf = freshAsOf
    }

    /** An answered heartbeat renews the lease from when the worker sent it, which is now. */
    private fun sendHeartbeat() {
        val isAnswered = if (now < onlyDelegateReachableUntil) isAnsweredByDelegate() else isAnsweredByLeader()
        if (isAnswered) leaseEnd = maxOf(leaseEnd, now + workers.lease * (1 + workerDrift))
    }

    private fun isAnsweredByDelegate(): Boolean = delegations.any { it.leader.localTime(now) < it.until }

    private fun isAnsweredByLeader(): Boolean {
        val isPreviousLeader = previousLeaders.isNotEmpty() && random.nextInt(3) == 0
        val respondingLeader = if (isPreviousLeader) previousLeaders.random(random) else leader
        // A lost response neither stops the task nor renews the lease.
        val isResponseReceived = random.nextInt(3) != 0
        if (!respondingLeader.mayAnswer(now) || !isResponseReceived) return false
        if (respondingLeader.sendsStops(now)) isStopped = true
        return true
    }

    private companion object {
        val SIMULATED_TIME = 260.seconds
    }
}
