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

class LeaseDelegatesTest {
    private val now = MonotonicInstant(0) + 1000.seconds
    private val zone = Zone("b")
    private val quiet = ZoneStatus(0, 0, null)
    private val other = NodeName("n1")

    private val times = LeadershipTimeouts(4.seconds, 14.seconds, 5.seconds, 800.milliseconds)

    private fun leading(renewed: MonotonicInstant, term: Long = 2, previousLeader: PreviousLeader? = null) =
        LeadershipState.Leader(
            Term(term),
            Revision(5),
            LeaseId(1),
            renewed + 4.seconds,
            renewed + 18.seconds,
            previousLeader,
            renewed,
        )

    @Test
    fun `nobody is named while a task may be where it must be stopped, or outside the window`() {
        val promises = DelegationRules(times)
        assertNull(
            promises.name(leading(now), zone, ZoneStatus(null, 0, null), now),
            "it isn't known which machines there are",
        )
        assertNull(promises.name(leading(now), zone, ZoneStatus(1, 0, null), now))
        assertNull(promises.name(leading(now), zone, ZoneStatus(0, 1, null), now))
        assertNull(promises.name(leading(now - 5.seconds), zone, quiet, now))
        assertEquals(MonotonicInstant.NEVER, promises.lastAnswer(zone))
        assertEquals(DelegationOffer(Term(2), 17.seconds), promises.name(leading(now), zone, quiet, now))
        assertEquals(now + 17.seconds, promises.lastAnswer(zone))
        assertEquals(MonotonicInstant.NEVER, promises.lastAnswer(Zone("a")))
    }

    /**
     * An ending may be known long after its user was told, as after an outage: that it had been *known* for less than
     * two seconds was no bound on how long a lease delegate kept
     * its tasks. What was promised ends as early as if nothing were known since before the ending.
     */
    @Test
    fun `a lease delegate's time ends as early as the oldest ending asks that was not carried out`() {
        val promises = DelegationRules(times)
        assertNull(promises.name(leading(now), zone, ZoneStatus(0, 0, now - 20.seconds), now))
        assertEquals(MonotonicInstant.NEVER, promises.lastAnswer(zone))
        val end = now - 3.seconds + times.answerWindow - 1.seconds
        assertEquals(
            DelegationOffer(Term(2), end - now),
            promises.name(leading(now), zone, ZoneStatus(0, 0, now - 3.seconds), now),
        )
        assertEquals(end, promises.lastAnswer(zone))
    }

    @Test
    fun `a promise is never taken back`() {
        val promises = DelegationRules(times)
        assertNotNull(promises.name(leading(now), zone, quiet, now))
        promises.name(leading(now - 2.seconds), zone, quiet, now + 1.seconds)
        assertEquals(now + 17.seconds, promises.lastAnswer(zone))
    }

    /**
     * Leader and lease delegate on clocks of their own, with grants that take any time on their way: whatever report
     * the lease delegate answers left its worker before the
     * moment that the leader has written down, and that is before the leader's own hold time ends.
     */
    @Test
    fun `a lease delegate answers nobody after its leader's last promise`() {
        var answers = 0
        for (seed in 1..500) {
            val random = Random(seed)
            val leaderDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
            val delegateDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
            fun leader(t: Duration) = now + t * (1 + leaderDrift)
            fun delegate(t: Duration) = now + 5.seconds + t * (1 + delegateDrift)
            val promises = DelegationRules(times)
            val node = LeaseDelegate(zone)
            val arriving = ArrayList<Pair<Duration, DelegationGrant>>()
            var t = Duration.ZERO
            var renewed = Duration.ZERO
            while (t < 120.seconds) {
                t += random.nextInt(50, 3_000).milliseconds
                if (random.nextDouble() < 0.6) renewed = t
                val came = t + random.nextInt(1, 900).milliseconds
                val leadershipState = leading(leader(renewed))
                promises.name(leadershipState, zone, quiet, leader(came))?.let { named ->
                    assertTrue(promises.lastAnswer(zone) < leadershipState.answerWindowEnd)
                    val back =
                        came +
                            if (random.nextDouble() < 0.5) 10.milliseconds else random.nextInt(1, 40_000).milliseconds
                    arriving.add(back to DelegationGrant(named.term, other, delegate(t) + named.span.shortened()))
                }
                arriving.filter { it.first <= t }.forEach { node.named(it.second) }
                arriving.removeAll { it.first <= t }
                if (node.answers(zone, Term(1), { true }, delegate(t)) == null) continue
                answers++
                assertTrue(
                    leader(t) <= promises.lastAnswer(zone),
                    "seed $seed: answered at $t, promised until ${promises.lastAnswer(zone) - now}",
                )
            }
        }
        assertTrue(answers > 1000, "$answers")
    }

    @Test
    fun `a lease delegate answers its own zone, cut off, for as long as no newer term is known`() {
        val delegate = LeaseDelegate(zone)
        delegate.named(DelegationGrant(Term(3), other, now + 10.seconds))
        delegate.named(DelegationGrant(Term(2), other, now + 60.seconds))
        delegate.named(DelegationGrant(Term(3), other, now + 5.seconds))
        assertEquals(Term(3), delegate.answers(zone, Term(2), { true }, now))
        assertNull(delegate.answers(Zone("a"), Term(2), { true }, now))
        assertNull(delegate.answers(zone, Term(4), { true }, now), "the worker knows a newer term")
        assertNull(delegate.answers(zone, Term(2), { false }, now), "the leader is heard")
        assertNull(delegate.answers(zone, Term(2), { true }, now + 10.seconds))
        delegate.observeTerm(Term(3))
        assertNotNull(delegate.answers(zone, Term(2), { true }, now))
        delegate.observeTerm(Term(4))
        assertNull(delegate.answers(zone, Term(2), { true }, now))
    }

    /**
     * A leader (n1) is cut off with its zone and holds it; the next (n2) crashes; the third (n0) hears of n2's new run.
     * To count the leases from then on was
     * to count those too short that n1 still kept alive.
     */
    @Test
    fun `earlier terms have stopped once every other controller says so`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("old"))
        val leadership = leading(now, term = 3, previousLeader)
        val terms = PreviousLeaders(setOf(other, NodeName("n2")))
        terms.heard(NodeName("n2"), Incarnation("new"), Term(1), now)
        assertFalse(terms.allStopped(leadership), "n1 has not been heard")
        terms.heard(other, Incarnation("x"), Term(2), now)
        assertFalse(terms.allStopped(leadership))
        terms.heard(NodeName("n9"), Incarnation("x"), Term(3), now)
        terms.heard(other, Incarnation("x"), Term(3), now)
        assertTrue(terms.allStopped(leadership))
        terms.heard(other, Incarnation("x"), Term(2), now)
        assertTrue(terms.allStopped(leadership), "a late word takes nothing back")
        assertTrue(PreviousLeaders(emptySet()).allStopped(leadership))
        val same = PreviousLeaders(setOf(NodeName("n2")))
        same.heard(NodeName("n2"), Incarnation("old"), Term(2), now)
        assertFalse(same.allStopped(leadership))
    }

    /**
     * n2 was last heard in its run before the one that led, as it was cut off from this node since, or its word of that
     * run was held up: it proves no end. To take it
     * for a newer run was to count the leases too short that n2 still kept alive.
     */
    @Test
    fun `only an answer to a question asked after the claim tells that the former leader's run has ended`() {
        val previousLeader = PreviousLeader(NodeName("n2"), Incarnation("led"))
        val leadership = leading(now, term = 3, previousLeader)
        val terms = PreviousLeaders(setOf(NodeName("n2")))
        terms.heard(NodeName("n2"), Incarnation("before"), Term(1), now - 30.seconds)
        assertFalse(terms.previousLeaderEnded(leadership) || terms.allStopped(leadership), "heard before the claim")
        terms.heard(NodeName("n2"), Incarnation("before"), Term(1), asked = null)
        assertFalse(terms.previousLeaderEnded(leadership) || terms.allStopped(leadership), "held up on its way")
        terms.heard(NodeName("n2"), Incarnation("after"), Term(1), now + 1.seconds)
        assertTrue(terms.previousLeaderEnded(leadership) && terms.allStopped(leadership))
        terms.heard(NodeName("n2"), Incarnation("led"), Term(2), now - 1.seconds)
        assertTrue(terms.allStopped(leadership), "an older answer takes nothing back")
    }
}
