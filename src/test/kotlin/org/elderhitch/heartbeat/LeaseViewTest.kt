package org.elderhitch.heartbeat

import org.elderhitch.time.CLOCK_DRIFT
import org.elderhitch.time.MonotonicInstant
import java.util.PriorityQueue
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
    fun `an agent epoch that a probe reveals has its own lease`() {
        val before = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = true).afterResponse(start)
        val now = start + 32.seconds
        val inNewEpoch = before.afterMessage(2, now, acknowledgesTerm = true)
        assertTrue(before.isExpired(now, leases))
        assertTrue(!inNewEpoch.isExpired(now, leases), "the new epoch may have just begun")
        assertTrue(inNewEpoch.awaitingFirstResponse && !inNewEpoch.afterResponse(now).awaitingFirstResponse)
        assertTrue(inNewEpoch.isExpired(now + lease + 1.seconds, leases))
        assertEquals(MessageFreshness.STALE, inNewEpoch.freshnessOf(1))
    }

    @Test
    fun `a probe renews no lease, and an expired epoch stays expired`() {
        val known = LeaseView.fromFirstMessage(3, start, acknowledgesTerm = true)
        val probed = known.afterMessage(3, start + 10.seconds, acknowledgesTerm = true)
        assertTrue(probed.isExpired(start + 12.seconds, leases))
        val expired = probed.expired()
        assertEquals(MessageFreshness.STALE, expired.freshnessOf(3), "a delayed heartbeat of the expired epoch")
        assertEquals(MessageFreshness.NEW_EPOCH, expired.freshnessOf(4))
        assertEquals(expired, expired.expired())
    }

    @Test
    fun `a lease that a lease delegate may have renewed expires after the delegate's last response`() {
        val known = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = true).afterResponse(start)
        assertTrue(known.isExpired(start + 12.seconds, leases, start))
        assertTrue(!known.isExpired(start + 25.seconds, leases, start + 14.seconds))
        assertTrue(known.isExpired(start + 26.seconds, leases, start + 14.seconds))
    }

    @Test
    fun `a lease is never considered expired until its worker knows the term`() {
        val known = LeaseView.fromFirstMessage(1, start, acknowledgesTerm = false)
        assertTrue(!known.isExpired(start + 60.seconds, leases), "the earlier leader may have renewed the lease")
        val acknowledged = known.afterMessage(1, start + 60.seconds, acknowledgesTerm = true)
        assertTrue(!acknowledged.isExpired(start + 70.seconds, leases))
        assertTrue(acknowledged.isExpired(start + 72.seconds, leases))
    }

    /**
     * A worker that measures its lease on its own clock. It ignores responses from earlier terms, and responses to
     * heartbeats that it sent in an earlier agent epoch or more than four seconds before. It begins a new agent epoch
     * when a lease duration passes without a renewal.
     */
    private inner class SimulatedWorker(private val drift: Double) {
        var agentEpoch = 1L
        var term = 0L
        private var renewedAt: Duration = Duration.ZERO

        private fun ownTime(at: Duration): Duration = at * (1 + drift)

        fun advance(at: Duration) {
            while (ownTime(at) - renewedAt > lease) {
                agentEpoch++
                renewedAt += lease
            }
        }

        fun receiveResponse(heartbeatEpoch: Long, sentAt: Duration, at: Duration, fromTerm: Long) {
            advance(at)
            if (fromTerm < term || heartbeatEpoch != agentEpoch || at - sentAt > 4.seconds) return
            term = fromTerm
            renewedAt = maxOf(renewedAt, ownTime(sentAt))
        }
    }

    private class ScheduledEvent(val at: Duration, val order: Int, val run: () -> Unit)

    /**
     * Simulates a leader of term 2, a leader of term 1 that doesn't know of term 2 yet, and a worker. Heartbeats,
     * responses and replies to probes are delayed, lost or reordered at random. Whenever the leader of term 2 concludes
     * that an epoch has expired, it must have expired on the worker.
     */
    private inner class Simulation(private val seed: Int) {
        private val random = Random(seed)
        private val worker = SimulatedWorker(randomDrift())
        private val leaderDrift = randomDrift()
        private val queue = PriorityQueue<ScheduledEvent>(compareBy<ScheduledEvent> { it.at }.thenBy { it.order })
        private var nextOrder = 0
        private var partitionedUntil = Duration.ZERO
        private var view: LeaseView? = null
        private var latestSequence: HeartbeatSequence? = null
        private var messages = 0L
        var expiredEpochs = 0
            private set
        var staleMessages = 0
            private set

        fun run() {
            var at = Duration.ZERO
            while (at < 300.seconds) {
                at += random.nextInt(200, 3_000).milliseconds
                scheduleMessage(at)
                scheduleExpiryCheck(at + random.nextInt(0, 2_000).milliseconds)
            }
            while (queue.isNotEmpty()) queue.poll().run()
        }

        private fun randomDrift(): Double = (random.nextDouble() * 2 - 1) * CLOCK_DRIFT

        private fun randomDelay(): Duration = if (random.nextDouble() < 0.7) {
            random.nextInt(1, 50).milliseconds
        } else {
            random.nextInt(1, 40_000).milliseconds
        }

        private fun schedule(at: Duration, run: () -> Unit) {
            queue.add(ScheduledEvent(at, nextOrder++, run))
        }

        private fun leaderTime(at: Duration) = start + at * (1 + leaderDrift)

        private fun scheduleMessage(sentAt: Duration) {
            if (random.nextDouble() < 0.04) {
                partitionedUntil = sentAt + random.nextInt(1_000, 45_000).milliseconds
            }
            val lost = sentAt < partitionedUntil
            val probed = random.nextDouble() < 0.4
            schedule(sentAt) {
                worker.advance(sentAt)
                val sequence = HeartbeatSequence(worker.agentEpoch, ++messages)
                if (probed) {
                    answerProbe(sequence, sentAt, lost)
                } else if (!lost) {
                    sendHeartbeat(sequence, sentAt)
                }
            }
        }

        private fun answerProbe(sequence: HeartbeatSequence, sentAt: Duration, lost: Boolean) {
            // The probe may have announced the term to the worker even if the reply is lost.
            if (!lost || random.nextDouble() < 0.3) worker.term = maxOf(worker.term, 2)
            val acknowledgesTerm = worker.term == 2L
            if (lost) return
            val arrivesAt = sentAt + randomDelay()
            schedule(arrivesAt) { receive(sequence, acknowledgesTerm, arrivesAt) }
        }

        private fun sendHeartbeat(sequence: HeartbeatSequence, sentAt: Duration) {
            val acknowledgesTerm = worker.term == 2L
            val arrivesAt = sentAt + randomDelay()
            val toPreviousLeader = sentAt < 30.seconds && random.nextDouble() < 0.5
            schedule(arrivesAt) {
                if (toPreviousLeader || receive(sequence, acknowledgesTerm, arrivesAt)) {
                    if (!toPreviousLeader) view = view?.afterResponse(leaderTime(arrivesAt))
                    respond(sequence, sentAt, arrivesAt, fromTerm = if (toPreviousLeader) 1 else 2)
                }
            }
        }

        private fun respond(sequence: HeartbeatSequence, sentAt: Duration, arrivedAt: Duration, fromTerm: Long) {
            if (random.nextDouble() >= 0.8) return
            val returnsAt = arrivedAt + randomDelay()
            schedule(returnsAt) { worker.receiveResponse(sequence.agentEpoch, sentAt, returnsAt, fromTerm) }
        }

        /**
         * Receives a message. Returns whether the leader records it: it is the newest, and its epoch has not expired.
         */
        private fun receive(sequence: HeartbeatSequence, acknowledgesTerm: Boolean, at: Duration): Boolean {
            if (view?.freshnessOf(sequence.agentEpoch) == MessageFreshness.STALE) {
                staleMessages++
                return false
            }
            if (latestSequence.let { it != null && sequence <= it }) return false
            latestSequence = sequence
            view = view?.afterMessage(sequence.agentEpoch, leaderTime(at), acknowledgesTerm)
                ?: LeaseView.fromFirstMessage(sequence.agentEpoch, leaderTime(at), acknowledgesTerm)
            return true
        }

        private fun scheduleExpiryCheck(at: Duration) = schedule(at) {
            val current = view
            if (current != null && current.isExpired(leaderTime(at), leases)) {
                worker.advance(at)
                assertTrue(
                    worker.agentEpoch > current.agentEpoch,
                    "seed $seed: epoch ${current.agentEpoch} was considered expired at $at, but has not expired",
                )
                expiredEpochs++
                view = current.expired()
            }
        }
    }

    @Test
    fun `lease view never considers a valid lease expired when messages are lost, late or sent to a previous leader`() {
        var expiredEpochs = 0
        var staleMessages = 0
        for (seed in 1..1000) {
            val simulation = Simulation(seed)
            simulation.run()
            expiredEpochs += simulation.expiredEpochs
            staleMessages += simulation.staleMessages
        }
        assertTrue(
            expiredEpochs > 1000 && staleMessages > 100,
            "the simulation must cover enough cases: $expiredEpochs expired epochs, $staleMessages stale messages",
        )
    }
}
