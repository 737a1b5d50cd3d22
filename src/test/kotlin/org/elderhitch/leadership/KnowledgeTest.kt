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
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The proof of `docs/design.md`, "For how long a withdrawn task may be kept", tried on random days: terms that follow
 * each other, renewals and proofs that succeed, fail
 * or are answered late, a job whose user is told, a worker whose reports are answered or not, lease delegates, and
 * processes that stand still between a check and what follows it.
 */
class KnowledgeTest {
    private val workers = WorkerTimeouts(3.seconds, 17.5.seconds, 45.seconds, 5.seconds, 47.5.seconds)
    private val times = LeadershipTimeouts.of(workers)
    private val zone = Zone("b")

    private enum class Guard { ALL, LEASE_ALONE, NO_STOPS, ENDINGS_AS_HEARD }

    /**
     * One leader on a clock of its own. All moments here are true time from the day's start; a leader's own clock
     * drifts.
     */
    private inner class Leader(private val drift: Double, val claimed: Duration, private val guard: Guard) {
        var renewed = claimed
        var proven = claimed
        val promises = DelegationRules(times)

        /** What its proofs were when it read the ending: it was recorded after that. Null: it has not read it. */
        var endedAfter: Duration? = null
        var heardAt: Duration? = null

        /** It had read the ending before it led, so the task belongs to no job in its table. */
        var stranger = false

        fun own(t: Duration): MonotonicInstant = MonotonicInstant(0) + 1000.seconds + t * (1 + drift)

        fun rights(): LeaderCapabilities = times.capabilities(
            own(renewed),
            if (guard ==
                Guard.LEASE_ALONE
            ) {
                own(renewed)
            } else {
                own(proven)
            },
        )

        fun proves(sent: Duration, confirmed: Duration, now: Duration) {
            if (sent >= confirmed && endedAfter == null) {
                endedAfter = proven
                heardAt = now
            }
            proven = maxOf(proven, sent)
        }

        fun leadershipState(): LeadershipState.Leader = rights().let {
            LeadershipState.Leader(
                Term(2),
                Revision(1),
                LeaseId(1),
                it.commandWindowEnd,
                it.answerWindowEnd,
                null,
                own(claimed),
            )
        }

        /**
         * By which own moment a lease delegate's last answer is given, if one is named now while the task has not been
         * stopped.
         */
        fun names(t: Duration): MonotonicInstant? {
            val since = if (guard == Guard.ENDINGS_AS_HEARD) heardAt else endedAfter
            return promises.name(
                leadershipState(),
                zone,
                ZoneStatus(0, if (stranger) 1 else 0, since?.let(::own)),
                own(t),
            )?.let {
                own(t) +
                    it.span.shortened()
            }
        }
    }

    /** By how much the task outlived what its user was told; null: not at all. */
    private fun outlives(seed: Int, guard: Guard): Duration? {
        val random = Random(seed)
        fun span(from: Int, to: Int) = random.nextInt(from, to).milliseconds
        val confirmed = 60.seconds + span(0, 20_000)
        var leader = Leader((random.nextDouble() * 2 - 1) * CLOCK_DRIFT, Duration.ZERO, guard)
        val earlier = ArrayList<Leader>()
        val grants = ArrayList<Pair<Leader, MonotonicInstant>>()
        val workerDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        var keptUntil = 60.seconds
        var stopped = false
        var t = Duration.ZERO
        var renewsUntil = Duration.ZERO
        var provesUntil = Duration.ZERO
        var knowsNothingFor = span(2_000, 70_000)
        var delegateOnly = Duration.ZERO
        while (t < 260.seconds && !stopped) {
            t += span(100, 900)
            // Spells of good and bad luck, of each kind by itself.
            if (t > renewsUntil + 15.seconds) renewsUntil = t + span(0, 60_000)
            if (t > provesUntil + knowsNothingFor) {
                provesUntil = t + span(0, 40_000)
                knowsNothingFor = span(2_000, 70_000)
            }
            if (t > delegateOnly + 30.seconds && random.nextInt(40) == 0) delegateOnly = t + span(0, 40_000)
            if (t < renewsUntil) leader.renewed = t - span(1, 90)
            if (t < provesUntil) leader.proves(t - span(1, 90), confirmed, t)
            // Another claims once the lease is over; it has read all that was recorded before its claim, or what its
            // own feed had.
            if (t - leader.renewed > times.commandWindow && random.nextInt(30) == 0) {
                earlier.add(leader)
                leader = Leader((random.nextDouble() * 2 - 1) * CLOCK_DRIFT, t, guard)
                val knew = t - span(0, 10_000)
                if (knew >= confirmed) {
                    leader.proves(knew, confirmed, t)
                    leader.stranger = true
                }
                leader.proven = knew
            }
            leader.names(t)?.let { grants.add(leader to it) }
            if (t < confirmed) {
                keptUntil = t + workers.lease
                continue
            }
            if (t > keptUntil) return null
            // The report left the worker now. Whoever answers checks, may stand still, and the answer counts if it
            // comes within four seconds.
            if (random.nextInt(4) != 0) continue
            val left = t
            val byDelegate = t < delegateOnly
            val answered = if (byDelegate) {
                grants.any { (by, until) -> by.own(t) < until }
            } else {
                val by = if (earlier.isNotEmpty() && random.nextInt(3) == 0) earlier.random(random) else leader
                val may = by.own(t) < by.rights().answerWindowEnd
                // A worker that is deaf for a while loses the answer, stop and all; so nothing is renewed by it.
                val heard = random.nextInt(3) != 0
                // Without the guard a stop went only with answers inside the window.
                val stops =
                    by.endedAfter != null && (guard != Guard.NO_STOPS || by.own(t) < by.rights().commandWindowEnd)
                if (may && heard && stops) stopped = true
                may && heard
            }
            if (answered) keptUntil = maxOf(keptUntil, left + workers.lease * (1 + workerDrift))
        }
        if (stopped) return (t - confirmed - workers.cancel).takeIf { it.isPositive() }
        return (keptUntil - confirmed - workers.cancel).takeIf { it.isPositive() }
    }

    private fun violations(guard: Guard): Int = (1..3000).count { outlives(it, guard) != null }

    @Test
    fun `no task is kept past the time for cancelling, whoever leads, renews and knows`() {
        for (seed in 1..3000) assertEquals(null, outlives(seed, Guard.ALL), "seed $seed")
    }

    /** Each guard is needed: with it taken out the same days keep withdrawn tasks for too long. */
    @Test
    fun `each guard taken out breaks the bound`() {
        for (guard in Guard.entries - Guard.ALL) assertTrue(violations(guard) > 0, "$guard")
    }
}
