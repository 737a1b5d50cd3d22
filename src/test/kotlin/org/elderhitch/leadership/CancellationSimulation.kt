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

/** The guards of the proof that cancelled tasks end in time; each entry but [ALL] leaves one of them out. */
internal enum class Guard {
    ALL,

    /** A leader's windows count from its renewals alone, and not from its freshness checks. */
    LEASE_ALONE,

    /** Past its command window a leader answers without the stops of cancelled tasks. */
    NO_STOPS,

    /** A delegation is limited by when the cancellation was read, and not by when it may have been recorded. */
    CANCELLATIONS_AS_READ,
}

private val workers = WorkerTimeouts(3.seconds, 17.5.seconds, 45.seconds, 5.seconds, 47.5.seconds)
private val timeouts = LeadershipTimeouts.of(workers)
private val zone = Zone("b")

/**
 * One leader on a clock of its own. All times here are true time since the simulation's start; the leader's own clock
 * drifts.
 */
private class SimulatedLeader(private val drift: Double, private val claimedAt: Duration, private val guard: Guard) {
    var renewedAt = claimedAt
    var freshAsOf = claimedAt

    /** Its last freshness check before the one that showed the cancellation; null: it has not read that. */
    var recordedAfter: Duration? = null
        private set
    private var readAt: Duration? = null

    /** It had read the cancellation before it led, so the task belongs to no job in its table. */
    var taskOfUnknownJob = false
    private val delegations = DelegationRules(timeouts)

    fun localTime(time: Duration): MonotonicInstant = MonotonicInstant(0) + 1000.seconds + time * (1 + drift)

    fun capabilities(): LeaderCapabilities {
        val fresh = if (guard == Guard.LEASE_ALONE) renewedAt else freshAsOf
        return timeouts.capabilities(localTime(renewedAt), localTime(fresh))
    }

    fun checkFreshness(sentAt: Duration, cancelledAt: Duration, now: Duration) {
        if (sentAt >= cancelledAt && recordedAfter == null) {
            recordedAfter = freshAsOf
            readAt = now
        }
        freshAsOf = maxOf(freshAsOf, sentAt)
    }

    fun mayAnswer(now: Duration): Boolean = localTime(now) < capabilities().answerWindowEnd

    fun sendsStops(now: Duration): Boolean {
        val withinWindow = guard != Guard.NO_STOPS || localTime(now) < capabilities().commandWindowEnd
        return recordedAfter != null && withinWindow
    }

    /** Until when on this leader's clock a lease delegate may answer that is named now; null: none is named. */
    fun grantDelegation(now: Duration): MonotonicInstant? {
        val since = if (guard == Guard.CANCELLATIONS_AS_READ) readAt else recordedAfter
        val status = ZoneStatus(0, if (taskOfUnknownJob) 1 else 0, since?.let(::localTime))
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
 * A random schedule of terms that follow each other, of renewals and freshness checks that succeed, fail or are
 * answered late, of a job whose cancellation is confirmed to its user, of a worker whose heartbeats are answered or
 * not, of lease delegates, and of processes that pause between a check and what follows it.
 */
internal class CancellationSimulation(seed: Int, private val guard: Guard) {
    private val random = Random(seed)
    private val cancelledAt = 60.seconds + randomDuration(0, 20_000)
    private var leader = newLeader(Duration.ZERO)
    private val previousLeaders = ArrayList<SimulatedLeader>()
    private val delegations = ArrayList<SimulatedDelegation>()
    private val workerDrift = randomDrift()
    private var leaseEnd = 60.seconds
    private var stopped = false
    private var now = Duration.ZERO

    // Spells in which renewals or freshness checks succeed, or only a lease delegate is reached, each by itself.
    private var renewalsUntil = Duration.ZERO
    private var freshUntil = Duration.ZERO
    private var staleFor = randomDuration(2_000, 70_000)
    private var delegateOnlyUntil = Duration.ZERO

    private fun randomDuration(fromMs: Int, untilMs: Int): Duration = random.nextInt(fromMs, untilMs).milliseconds

    private fun randomDrift(): Double = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT

    private fun newLeader(claimedAt: Duration) = SimulatedLeader(randomDrift(), claimedAt, guard)

    /** By how much the task outlived what its user was told; null: not at all. */
    fun overrun(): Duration? {
        while (now < SIMULATED_TIME && !stopped) {
            now += randomDuration(100, 900)
            drawSpells()
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
        val end = if (stopped) now else leaseEnd
        return (end - cancelledAt - workers.cancel).takeIf { it.isPositive() }
    }

    private fun drawSpells() {
        if (now > renewalsUntil + 15.seconds) renewalsUntil = now + randomDuration(0, 60_000)
        if (now > freshUntil + staleFor) {
            freshUntil = now + randomDuration(0, 40_000)
            staleFor = randomDuration(2_000, 70_000)
        }
        if (now > delegateOnlyUntil + 30.seconds && random.nextInt(40) == 0) {
            delegateOnlyUntil = now + randomDuration(0, 40_000)
        }
    }

    private fun renewAndCheckFreshness() {
        if (now < renewalsUntil) leader.renewedAt = now - randomDuration(1, 90)
        if (now < freshUntil) leader.checkFreshness(now - randomDuration(1, 90), cancelledAt, now)
    }

    /** Another node claims once the lease is over; it knows what its own watch had read before its claim. */
    private fun changeLeader() {
        if (now - leader.renewedAt <= timeouts.commandWindow || random.nextInt(30) != 0) return
        previousLeaders.add(leader)
        leader = newLeader(now)
        val freshAsOf = now - randomDuration(0, 10_000)
        if (freshAsOf >= cancelledAt) {
            leader.checkFreshness(freshAsOf, cancelledAt, now)
            leader.taskOfUnknownJob = true
        }
        leader.freshAsOf = freshAsOf
    }

    /** An answered heartbeat renews the lease from when it left the worker, which is now. */
    private fun sendHeartbeat() {
        val answered = if (now < delegateOnlyUntil) isAnsweredByDelegate() else isAnsweredByLeader()
        if (answered) leaseEnd = maxOf(leaseEnd, now + workers.lease * (1 + workerDrift))
    }

    private fun isAnsweredByDelegate(): Boolean = delegations.any { it.leader.localTime(now) < it.until }

    private fun isAnsweredByLeader(): Boolean {
        val fromPrevious = previousLeaders.isNotEmpty() && random.nextInt(3) == 0
        val answering = if (fromPrevious) previousLeaders.random(random) else leader
        // A response that gets lost brings no stop and renews nothing.
        val received = random.nextInt(3) != 0
        if (!answering.mayAnswer(now) || !received) return false
        if (answering.sendsStops(now)) stopped = true
        return true
    }

    private companion object {
        val SIMULATED_TIME = 260.seconds
    }
}
