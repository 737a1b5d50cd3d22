package org.elderhitch.heartbeat

import org.elderhitch.time.CLOCK_DRIFT
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaseViewTest {
    private val lease = 11.seconds
    private val leases = LeaseTimeouts(lease)
    private val start = MonotonicInstant(0) + 1000.seconds

    @Test
    fun `a session that is told of in answer to a question has a lease of its own`() {
        val before = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = true).afterResponse(start)
        val now = start + 32.seconds
        val told = before.afterMessage(2, now, acknowledgesTerm = true)
        assertTrue(before.isExpired(now, leases))
        assertTrue(!told.isExpired(now, leases), "it may have begun just now")
        assertTrue(told.awaitingFirstResponse && !told.afterResponse(now).awaitingFirstResponse)
        assertTrue(told.isExpired(now + lease + 1.seconds, leases))
        assertEquals(MessageFreshness.STALE, told.freshnessOf(1))
    }

    @Test
    fun `a question renews nothing, and a session that is over stays over`() {
        val known = LeaseView.fromFirstMessage(3, start, acknowledgesTerm = true)
        val asked = known.afterMessage(3, start + 10.seconds, acknowledgesTerm = true)
        assertTrue(asked.isExpired(start + 12.seconds, leases))
        val over = asked.expired()
        assertEquals(MessageFreshness.STALE, over.freshnessOf(3), "a report of it was held back on its way")
        assertEquals(MessageFreshness.NEW_EPOCH, over.freshnessOf(4))
        assertEquals(over, over.expired())
    }

    @Test
    fun `a lease that a lease delegate may have renewed is counted from its last answer`() {
        val known = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = true).afterResponse(start)
        assertTrue(known.isExpired(start + 12.seconds, leases, start))
        assertTrue(!known.isExpired(start + 25.seconds, leases, start + 14.seconds))
        assertTrue(known.isExpired(start + 26.seconds, leases, start + 14.seconds))
    }

    @Test
    fun `until it knows our term an earlier leader may have renewed its lease`() {
        val known = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = false)
        assertTrue(!known.isExpired(start + 60.seconds, leases), "nothing is known of the earlier leader's answers")
        val obeying = known.afterMessage(1, start + 60.seconds, acknowledgesTerm = true)
        assertTrue(!obeying.isExpired(start + 70.seconds, leases))
        assertTrue(obeying.isExpired(start + 72.seconds, leases))
    }

    /** A worker as PROTOCOL describes it ("Tokens", "Leases"), on a clock of its own. */
    private inner class Worker(private val drift: Double) {
        var session = 1L
        var term = 0L
        private var renewed: Duration = Duration.ZERO

        private fun own(at: Duration): Duration = at * (1 + drift)

        fun advance(at: Duration) {
            while (own(at) - renewed > lease) {
                session++
                renewed += lease
            }
        }

        fun answer(of: Long, sentAt: Duration, at: Duration, by: Long) {
            advance(at)
            if (by < term || of != session || at - sentAt > 4.seconds) return
            term = by
            renewed = maxOf(renewed, own(sentAt))
        }
    }

    private class Message(val at: Duration, val order: Int, val run: () -> Unit)

    /**
     * A leader of term 2 and one of term 1 that doesn't know of it yet, before a worker whose reports, their answers
     * and the answers to questions
     * take any time, get lost, or come in another order. What the leader concludes must be true of the worker at that
     * moment.
     */
    private fun play(seed: Int): Pair<Int, Int> {
        val random = Random(seed)
        val worker = Worker((random.nextDouble() * 2 - 1) * CLOCK_DRIFT)
        val leaderDrift = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT
        val queue = java.util.PriorityQueue<Message>(compareBy<Message> { it.at }.thenBy { it.order })
        var order = 0
        var belief: LeaseView? = null
        var conclusions = 0
        var stale = 0
        var known: Pair<Long, Int>? = null
        var sequence = 0
        fun at(t: Duration, run: () -> Unit) = queue.add(Message(t, order++, run))
        fun delay(): Duration = if (random.nextDouble() <
            0.7
        ) {
            random.nextInt(1, 50).milliseconds
        } else {
            random.nextInt(1, 40_000).milliseconds
        }
        fun moment(t: Duration) = start + t * (1 + leaderDrift)

        fun word(session: Long, number: Int, obeys: Boolean, t: Duration): Boolean {
            val judged = belief?.freshnessOf(session)
            if (judged == MessageFreshness.STALE) stale++
            if (judged == MessageFreshness.STALE ||
                known.let {
                    it != null &&
                        compareValuesBy(session to number, it, { p -> p.first }, { p -> p.second }) <= 0
                }
            ) {
                return false
            }
            known = session to number
            belief = belief?.afterMessage(session, moment(t), obeys) ?: LeaseView.fromFirstMessage(session, moment(t), obeys)
            return true
        }

        var t = Duration.ZERO
        var cutUntil = Duration.ZERO
        while (t < 300.seconds) {
            t += random.nextInt(200, 3_000).milliseconds
            val sent = t
            if (random.nextDouble() < 0.04) cutUntil = t + random.nextInt(1_000, 45_000).milliseconds
            val lost = sent < cutUntil
            val asked = random.nextDouble() < 0.4
            at(sent) {
                worker.advance(sent)
                val session = worker.session
                val number = ++sequence
                if (asked) {
                    // The question told it the term, if it came through.
                    if (!lost || random.nextDouble() < 0.3) worker.term = maxOf(worker.term, 2)
                    val obeys = worker.term == 2L
                    if (!lost) (sent + delay()).let { came -> at(came) { word(session, number, obeys, came) } }
                } else if (!lost) {
                    val obeys = worker.term == 2L
                    val came = sent + delay()
                    val byOld = sent < 30.seconds && random.nextDouble() < 0.5
                    at(came) {
                        if (byOld || word(session, number, obeys, came)) {
                            if (!byOld) belief = belief?.afterResponse(moment(came))
                            if (random.nextDouble() <
                                0.8
                            ) {
                                (came + delay()).let { back ->
                                    at(back) { worker.answer(session, sent, back, if (byOld) 1 else 2) }
                                }
                            }
                        }
                    }
                }
            }
            val look = t + random.nextInt(0, 2_000).milliseconds
            at(look) {
                val now = belief ?: return@at
                if (!now.isExpired(moment(look), leases)) return@at
                worker.advance(look)
                assertTrue(
                    worker.session > now.agentEpoch,
                    "seed $seed: session ${now.agentEpoch} was said to be over at $look, and is not",
                )
                conclusions++
                belief = now.expired()
            }
        }
        while (queue.isNotEmpty()) queue.poll().run()
        return conclusions to stale
    }

    @Test
    fun `what is concluded of a lease is true of the worker, whatever is lost, late or answered by an earlier leader`() {
        var conclusions = 0
        var stale = 0
        for (seed in 1..1000) {
            play(seed).let { (c, s) ->
                conclusions += c
                stale += s
            }
        }
        assertTrue(conclusions > 1000 && stale > 100, "the model must come to conclusions: $conclusions, $stale")
    }
}
