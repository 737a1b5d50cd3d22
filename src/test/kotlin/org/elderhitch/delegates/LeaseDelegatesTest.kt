package org.elderhitch.delegates

import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
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

/** The rules of delegations on both sides, and when earlier terms count as over. */
class LeaseDelegatesTest {
    private val now = MonotonicInstant(0) + 1000.seconds
    private val zone = Zone("b")
    private val settledZone = ZoneStatus(0, 0, null)
    private val peer = NodeName("n1")

    private val timeouts = LeadershipTimeouts(4.seconds, 14.seconds, 5.seconds, 800.milliseconds)

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
    fun `a leader grants no delegation when a task may need to be stopped or its command window is over`() {
        val rules = DelegationRules(timeouts)
        assertNull(
            rules.grantDelegation(leader(now), zone, ZoneStatus(null, 0, null), now),
            "it isn't known which machines there are",
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
     * A terminal state may be read long after it was confirmed to the user, as after an outage: when it was *read* is
     * no bound on how long a lease delegate may keep its tasks.
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
    fun `a granted delegation stays recorded when a later one is shorter`() {
        val rules = DelegationRules(timeouts)
        assertNotNull(rules.grantDelegation(leader(now), zone, settledZone, now))
        rules.grantDelegation(leader(now - 2.seconds), zone, settledZone, now + 1.seconds)
        assertEquals(now + 17.seconds, rules.delegationEnd(zone))
    }

    /**
     * Leader and lease delegate on drifting clocks of their own, with grants that are delayed at random: whatever
     * heartbeat the lease delegate answers left its worker before the instant that the leader has recorded, and that is
     * before the leader's own answer window ends.
     */
    @Test
    fun `a lease delegate answers nobody when its leader's last recorded grant is over`() {
        val answers = (1..500).sumOf(::answersOfRandomDelegation)
        assertTrue(answers > 1000, "$answers")
    }

    private class DelayedGrant(val arrivesAt: Duration, val grant: DelegationGrant)

    /** How many heartbeats the lease delegate answered; asserts of each that the leader counts on it. */
    private fun answersOfRandomDelegation(seed: Int): Int {
        val random = Random(seed)
        val leaderDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        val delegateDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        fun leaderClock(time: Duration) = now + time * (1 + leaderDrift)
        fun delegateClock(time: Duration) = now + 5.seconds + time * (1 + delegateDrift)
        val rules = DelegationRules(timeouts)
        val delegate = LeaseDelegate(zone)
        val arriving = ArrayList<DelayedGrant>()
        var answers = 0
        var time = Duration.ZERO
        var renewedAt = Duration.ZERO
        while (time < 120.seconds) {
            time += random.nextInt(50, 3_000).milliseconds
            if (random.nextDouble() < 0.6) renewedAt = time
            val askedAt = time
            val receivedAt = time + random.nextInt(1, 900).milliseconds
            val leader = leader(leaderClock(renewedAt))
            rules.grantDelegation(leader, zone, settledZone, leaderClock(receivedAt))?.let { offer ->
                assertTrue(rules.delegationEnd(zone) < leader.answerWindowEnd)
                val delay =
                    if (random.nextDouble() < 0.5) 10.milliseconds else random.nextInt(1, 40_000).milliseconds
                val until = delegateClock(askedAt) + offer.duration.shortened()
                arriving.add(DelayedGrant(receivedAt + delay, DelegationGrant(offer.term, peer, until)))
            }
            arriving.filter { it.arrivesAt <= time }.forEach { delegate.accept(it.grant) }
            arriving.removeAll { it.arrivesAt <= time }
            if (delegate.responseTerm(zone, Term(1), { true }, delegateClock(time)) == null) continue
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
        delegate.accept(DelegationGrant(Term(3), peer, now + 10.seconds))
        delegate.accept(DelegationGrant(Term(2), peer, now + 60.seconds))
        delegate.accept(DelegationGrant(Term(3), peer, now + 5.seconds))
        assertEquals(Term(3), delegate.responseTerm(zone, Term(2), { true }, now))
        assertNull(delegate.responseTerm(Zone("a"), Term(2), { true }, now))
        assertNull(delegate.responseTerm(zone, Term(4), { true }, now), "the worker knows a newer term")
        assertNull(delegate.responseTerm(zone, Term(2), { false }, now), "the leader is reachable")
        assertNull(delegate.responseTerm(zone, Term(2), { true }, now + 10.seconds))
        delegate.observeTerm(Term(3))
        assertNotNull(delegate.responseTerm(zone, Term(2), { true }, now))
        delegate.observeTerm(Term(4))
        assertNull(delegate.responseTerm(zone, Term(2), { true }, now))
    }

    /**
     * A leader (n1) is cut off with its zone and keeps answering it; the next leader (n2) crashes; the third (n0) hears
     * of n2's new incarnation. Leases counted from then on would be too short for those that n1 still renews.
     */
    @Test
    fun `earlier terms have stopped when every other controller knows the new one`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("old"))
        val leadership = leader(now, term = 3, previousLeader)
        val previousLeaders = PreviousLeaders(setOf(peer, NodeName("n2")))
        previousLeaders.observe(NodeName("n2"), Incarnation("new"), Term(1), now)
        assertFalse(previousLeaders.haveAllStopped(leadership), "n1 has not been heard of")
        previousLeaders.observe(peer, Incarnation("x"), Term(2), now)
        assertFalse(previousLeaders.haveAllStopped(leadership))
        previousLeaders.observe(NodeName("n9"), Incarnation("x"), Term(3), now)
        previousLeaders.observe(peer, Incarnation("x"), Term(3), now)
        assertTrue(previousLeaders.haveAllStopped(leadership))
        previousLeaders.observe(peer, Incarnation("x"), Term(2), now)
        assertTrue(previousLeaders.haveAllStopped(leadership), "a delayed message takes nothing back")
        assertTrue(PreviousLeaders(emptySet()).haveAllStopped(leadership))
        val restarted = PreviousLeaders(setOf(NodeName("n2")))
        restarted.observe(NodeName("n2"), Incarnation("old"), Term(2), now)
        assertFalse(restarted.haveAllStopped(leadership))
    }

    /**
     * n2 was last heard of in its incarnation before the one that led, as it was cut off from this node since, or that
     * message was delayed: neither proves that the leading one has ended, and n2 may still be renewing leases.
     */
    @Test
    fun `the previous leader counts as ended only when a new incarnation answers a request sent after the claim`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("led"))
        val leadership = leader(now, term = 3, previousLeader)
        val previousLeaders = PreviousLeaders(setOf(NodeName("n2")))
        fun endedOrStopped() =
            previousLeaders.hasPreviousLeaderEnded(leadership) || previousLeaders.haveAllStopped(leadership)
        previousLeaders.observe(NodeName("n2"), Incarnation("before"), Term(1), now - 30.seconds)
        assertFalse(endedOrStopped(), "observed before the claim")
        previousLeaders.observe(NodeName("n2"), Incarnation("before"), Term(1), askedAt = null)
        assertFalse(endedOrStopped(), "delayed")
        previousLeaders.observe(NodeName("n2"), Incarnation("after"), Term(1), now + 1.seconds)
        assertTrue(previousLeaders.hasPreviousLeaderEnded(leadership))
        assertTrue(previousLeaders.haveAllStopped(leadership))
        previousLeaders.observe(NodeName("n2"), Incarnation("led"), Term(2), now - 1.seconds)
        assertTrue(previousLeaders.haveAllStopped(leadership), "an older answer takes nothing back")
    }
}
