package org.elderhitch.delegates

import org.elderhitch.leadership.FencingToken
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
import org.elderhitch.leadership.TokenRange
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.CLOCK_DRIFT
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.shortened
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the rules of delegations on the leader and on the lease delegate, and when earlier terms count as ended. */
class LeaseDelegationTest {
    private val now = MonotonicInstant(0) + 1000.seconds
    private val zone = Zone("b")
    private val settledZone = ZoneStatus(0, 0, null)
    private val peer = NodeName("n1")

    private val timeouts = LeadershipTimeouts(4.seconds, 14.seconds, 5.seconds, 800.milliseconds)

    private fun grantOf(term: Term, until: MonotonicInstant) =
        DelegationGrant(TokenRange(term.firstToken, term.firstToken), peer, until)

    private fun leader(renewedAt: MonotonicInstant, term: Long = 2, previousLeader: PreviousLeader? = null) =
        LeadershipState.Leader(
            Term(term),
            Revision(5),
            LeaseId(1),
            renewedAt + 4.seconds,
            renewedAt + 18.seconds,
            previousLeader,
            renewedAt,
        )

    @Test
    fun `a leader grants no delegation when a task may need to be stopped or its command window has ended`() {
        val rules = DelegationRules(timeouts)
        assertNull(
            rules.grantDelegation(leader(now), zone, ZoneStatus(null, 0, null), now),
            "the inventory of machines is not loaded",
        )
        assertNull(rules.grantDelegation(leader(now), zone, ZoneStatus(1, 0, null), now))
        assertNull(rules.grantDelegation(leader(now), zone, ZoneStatus(0, 1, null), now))
        assertNull(rules.grantDelegation(leader(now - 5.seconds), zone, settledZone, now))
        assertEquals(MonotonicInstant.NEVER, rules.delegationEnd(zone))
        assertEquals(DelegationOffer(Term(2), 17.seconds), rules.grantDelegation(leader(now), zone, settledZone, now))
        assertEquals(now + 17.seconds, rules.delegationEnd(zone))
        assertEquals(MonotonicInstant.NEVER, rules.delegationEnd(Zone("a")))
    }

    /**
     * A terminal state may be read long after it was confirmed to the user, for example after an outage. The time when
     * it was *read* therefore does not limit how long a lease delegate may keep the job's tasks alive.
     */
    @Test
    fun `a delegation ends earlier when a terminal job still has tasks in the zone`() {
        val rules = DelegationRules(timeouts)
        assertNull(rules.grantDelegation(leader(now), zone, ZoneStatus(0, 0, now - 20.seconds), now))
        assertEquals(MonotonicInstant.NEVER, rules.delegationEnd(zone))
        val end = now - 3.seconds + timeouts.answerWindow - 1.seconds
        assertEquals(
            DelegationOffer(Term(2), end - now),
            rules.grantDelegation(leader(now), zone, ZoneStatus(0, 0, now - 3.seconds), now),
        )
        assertEquals(end, rules.delegationEnd(zone))
    }

    @Test
    fun `the recorded end of a delegation does not decrease when a later grant is shorter`() {
        val rules = DelegationRules(timeouts)
        assertNotNull(rules.grantDelegation(leader(now), zone, settledZone, now))
        rules.grantDelegation(leader(now - 2.seconds), zone, settledZone, now + 1.seconds)
        assertEquals(now + 17.seconds, rules.delegationEnd(zone))
    }

    /**
     * Leader and lease delegate have drifting clocks, and grants are delayed at random. Any heartbeat that the lease
     * delegate answers must have left its worker before the delegation end that the leader has recorded, which in turn
     * precedes the end of the leader's own answer window.
     */
    @Test
    fun `a lease delegate answers no heartbeat after the delegation end that its leader has recorded`() {
        val answers = (1..500).sumOf(::countAnswersOfRandomDelegation)
        assertTrue(answers > 1000, "$answers")
    }

    private class DelayedGrant(val arrivesAt: Duration, val grant: DelegationGrant)

    /** Counts the heartbeats that the lease delegate answers, and asserts that the leader's record allows each. */
    private fun countAnswersOfRandomDelegation(seed: Int): Int {
        val random = Random(seed)
        val leaderDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        val delegateDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        fun leaderClock(time: Duration) = now + time * (1 + leaderDrift)
        fun delegateClock(time: Duration) = now + 5.seconds + time * (1 + delegateDrift)
        val rules = DelegationRules(timeouts)
        val delegate = LeaseDelegate(zone)
        val grantsInTransit = ArrayList<DelayedGrant>()
        var answers = 0
        var time = Duration.ZERO
        var renewedAt = Duration.ZERO
        while (time < 120.seconds) {
            time += random.nextInt(50, 3_000).milliseconds
            if (random.nextDouble() < 0.6) renewedAt = time
            val requestSentAt = time
            val receivedAt = time + random.nextInt(1, 900).milliseconds
            val leader = leader(leaderClock(renewedAt))
            rules.grantDelegation(leader, zone, settledZone, leaderClock(receivedAt))?.let { offer ->
                assertTrue(rules.delegationEnd(zone) < leader.answerWindowEnd)
                val delay =
                    if (random.nextDouble() < 0.5) 10.milliseconds else random.nextInt(1, 40_000).milliseconds
                val until = delegateClock(requestSentAt) + offer.duration.shortened()
                grantsInTransit.add(DelayedGrant(receivedAt + delay, grantOf(offer.term, until)))
            }
            grantsInTransit.filter { it.arrivesAt <= time }.forEach { delegate.accept(it.grant) }
            grantsInTransit.removeAll { it.arrivesAt <= time }
            if (delegate.responseToken(zone, FencingToken(1), { true }, delegateClock(time)) == null) continue
            answers++
            assertTrue(
                leaderClock(time) <= rules.delegationEnd(zone),
                "seed $seed: answered at $time, granted until ${rules.delegationEnd(zone) - now}",
            )
        }
        return answers
    }

    @Test
    fun `a lease delegate answers its own zone when it is cut off and no newer term is known`() {
        val delegate = LeaseDelegate(zone)
        delegate.accept(grantOf(Term(3), now + 10.seconds))
        delegate.accept(grantOf(Term(2), now + 60.seconds))
        delegate.accept(grantOf(Term(3), now + 5.seconds))
        assertEquals(FencingToken(3), delegate.responseToken(zone, FencingToken(2), { true }, now))
        assertNull(delegate.responseToken(Zone("a"), FencingToken(2), { true }, now))
        assertNull(delegate.responseToken(zone, FencingToken(4), { true }, now), "the worker knows a newer term")
        assertNull(delegate.responseToken(zone, FencingToken(2), { false }, now), "the leader is reachable")
        assertNull(delegate.responseToken(zone, FencingToken(2), { true }, now + 10.seconds))
        delegate.observeTerm(Term(3))
        assertNotNull(delegate.responseToken(zone, FencingToken(2), { true }, now))
        delegate.observeTerm(Term(4))
        assertNull(delegate.responseToken(zone, FencingToken(2), { true }, now))
    }

    /** Regression (`docs/incidents/stale-grant.md`): the newer term had revoked the grant before, so there was none. */
    @Test
    fun `a grant of a term that was over before it arrived is void, though no other grant is held`() {
        val delegate = LeaseDelegate(zone)
        assertTrue(delegate.accept(grantOf(Term(2), now + 5.seconds)))
        delegate.observeTerm(Term(3))
        assertFalse(delegate.accept(grantOf(Term(2), now + 10.seconds)))
        delegate.observeTerm(Term(2))
        assertFalse(delegate.accept(grantOf(Term(2), now + 10.seconds)), "a delayed message does not lower the term")
        assertNull(delegate.responseToken(zone, FencingToken(2), { true }, now))
        assertTrue(delegate.accept(grantOf(Term(3), now + 10.seconds)))
    }

    /** Grants and terms become known in any order, late and repeatedly. */
    @Test
    fun `a lease delegate never answers with a token of an earlier term than it has ever known`() {
        var answers = 0
        for (seed in 1..500) {
            val random = Random(seed)
            val delegate = LeaseDelegate(zone)
            var known = Term.NONE
            repeat(60) {
                val term = Term(random.nextLong(1, 8))
                if (random.nextBoolean()) {
                    delegate.observeTerm(term)
                    known = maxOf(known, term)
                } else {
                    delegate.accept(grantOf(term, now + random.nextInt(-5, 20).seconds))
                }
                val token = delegate.responseToken(zone, FencingToken.NONE, { true }, now)
                if (token != null) answers++
                assertTrue(token == null || token >= known.firstToken, "seed $seed: answers with $token, knows $known")
            }
        }
        assertTrue(answers > 5000, "$answers")
    }

    /** A version without token ranges may pass on a worker's token as a term (`LeadershipStateMachine.observeTerm`). */
    @Test
    fun `a token of the grant's own term is no newer term`() {
        val delegate = LeaseDelegate(zone)
        val grant = DelegationGrant(TokenRange(FencingToken(30), FencingToken(39)), peer, now + 10.seconds)
        delegate.observeTerm(Term(35))
        assertTrue(delegate.accept(grant))
        delegate.observeTerm(Term(39))
        assertNotNull(delegate.responseToken(zone, FencingToken(30), { true }, now))
        delegate.observeTerm(Term(40))
        assertNull(delegate.responseToken(zone, FencingToken(30), { true }, now))
    }

    /** A worker drops an answer with a lower token than it has seen, and its lease would end. */
    @Test
    fun `a lease delegate answers a worker with the token that the leader has raised for it`() {
        val delegate = LeaseDelegate(zone)
        val tokens = TokenRange(FencingToken(30), FencingToken(39))
        delegate.accept(DelegationGrant(tokens, peer, now + 10.seconds))
        val answered = listOf(12L, 30L, 34L, 39L, 40L).associateWith { seen ->
            delegate.responseToken(zone, FencingToken(seen), { true }, now)?.number
        }
        assertEquals(mapOf(12L to 30L, 30L to 30L, 34L to 34L, 39L to 39L, 40L to null), answered)
    }

    /**
     * A leader (n1) is partitioned together with its zone and keeps answering its workers. The next leader (n2)
     * crashes, and the third (n0) learns of n2's new incarnation. If n0 measured the leases of earlier terms from then
     * on, it would assume them expired while n1 still renews some.
     */
    @Test
    fun `previous leaders have stopped when every other controller knows the new term`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("old"))
        val leadership = leader(now, term = 3, previousLeader)
        val tracker = PreviousLeaderTracker(setOf(peer, NodeName("n2")))
        tracker.observe(NodeName("n2"), Incarnation("new"), Term(1), now)
        assertFalse(tracker.havePreviousLeadersStopped(leadership), "n1 has not reported")
        tracker.observe(peer, Incarnation("x"), Term(2), now)
        assertFalse(tracker.havePreviousLeadersStopped(leadership))
        tracker.observe(NodeName("n9"), Incarnation("x"), Term(3), now)
        tracker.observe(peer, Incarnation("x"), Term(3), now)
        assertTrue(tracker.havePreviousLeadersStopped(leadership))
        tracker.observe(peer, Incarnation("x"), Term(2), now)
        assertTrue(tracker.havePreviousLeadersStopped(leadership), "a delayed message does not lower the known term")
        assertTrue(PreviousLeaderTracker(emptySet()).havePreviousLeadersStopped(leadership))
        val singlePeerTracker = PreviousLeaderTracker(setOf(NodeName("n2")))
        singlePeerTracker.observe(NodeName("n2"), Incarnation("old"), Term(2), now)
        assertFalse(singlePeerTracker.havePreviousLeadersStopped(leadership))
    }

    /**
     * The last report of n2 is from the incarnation before the one that led, because n2 has been partitioned from this
     * node since, or because the message was delayed. Neither proves that the incarnation that led has ended, so n2 may
     * still be renewing leases.
     */
    @Test
    fun `the previous leader counts as ended only when a new incarnation responds to a request sent after the claim`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("led"))
        val leadership = leader(now, term = 3, previousLeader)
        val tracker = PreviousLeaderTracker(setOf(NodeName("n2")))
        fun isEndedOrStopped() =
            tracker.hasPreviousLeaderEnded(leadership) || tracker.havePreviousLeadersStopped(leadership)
        tracker.observe(NodeName("n2"), Incarnation("before"), Term(1), now - 30.seconds)
        assertFalse(isEndedOrStopped(), "observed before the claim")
        tracker.observe(NodeName("n2"), Incarnation("before"), Term(1), requestSentAt = null)
        assertFalse(isEndedOrStopped(), "delayed")
        tracker.observe(NodeName("n2"), Incarnation("after"), Term(1), now + 1.seconds)
        assertTrue(tracker.hasPreviousLeaderEnded(leadership))
        assertTrue(tracker.havePreviousLeadersStopped(leadership))
        tracker.observe(NodeName("n2"), Incarnation("led"), Term(2), now - 1.seconds)
        assertTrue(tracker.havePreviousLeadersStopped(leadership), "an older response does not replace a newer one")
    }
}
