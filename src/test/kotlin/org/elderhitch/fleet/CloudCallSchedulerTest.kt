package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CloudCallSchedulerTest {
    private val begin = MonotonicInstant(0) + 100.seconds

    private fun id(n: Int) = MachineId("host-$n")

    /**
     * Seen on the Chamo works at 1.2 requests a second: 130 machines fell silent within 30 s, each was returned by a
     * request of its own, and for 45 s not one machine
     * was hired. Here machines fall silent at random moments, and returns must leave half of the rate alone, forget
     * nobody, and keep nobody waiting for long.
     */
    @Test
    fun `returns leave every other turn to hires, however many machines fall silent`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val rate = listOf(0.5, 1.2, 4.0, 9.6)[random.nextInt(4)]
            val turns = CloudCallScheduler(rate)
            val waitingSince = HashMap<MachineId, MonotonicInstant>()
            var requests = 0
            var named = 0
            val out = ArrayDeque<MonotonicInstant>()
            repeat(300) { step ->
                val now = begin + 200.milliseconds * step
                if (random.nextDouble() < 0.4) {
                    val silent = List(random.nextInt(1, 6)) { id(named++) }
                    silent.forEach { waitingSince[it] = now }
                    turns.wantReturned(silent, TerminationReason.SUSPECTED)
                }
                while (out.isNotEmpty() && out.first() <= now) {
                    out.removeFirst()
                    turns.returned()
                }
                while (true) {
                    val batch = turns.returns(now).ifEmpty { break }
                    requests++
                    out.addLast(now + 400.milliseconds)
                    for (machine in batch.keys) {
                        val waited = now - waitingSince.getValue(machine)
                        waitingSince.remove(machine)
                        assertTrue(
                            waited <= (2 / rate).seconds + 1.seconds,
                            "seed $seed: $machine waited $waited at $rate a second",
                        )
                    }
                }
            }
            assertTrue(requests <= 60 * rate / 2 + 1, "seed $seed: $requests requests in 60 s at $rate a second")
            assertTrue(
                waitingSince.values.all {
                    begin + 60.seconds - it <= (2 / rate).seconds + 1.seconds
                },
                "seed $seed: forgotten",
            )
        }
    }

    /**
     * A return that waits for its turn is void once the worker speaks: it was for its silence. One that is idle speaks
     * all the time.
     */
    @Test
    fun `a machine that speaks is spared only while its return for silence waits`() {
        val turns = CloudCallScheduler(1.0)
        turns.wantReturned(listOf(id(1)), TerminationReason.SUSPECTED)
        assertEquals(setOf(id(1)), turns.returns(begin).keys)
        assertFalse(turns.spare(id(1)), "it is under way")
        turns.wantReturned(listOf(id(2), id(3)), TerminationReason.NEVER_SEEN)
        turns.wantReturned(listOf(id(4)), TerminationReason.IDLE)
        assertTrue(turns.spare(id(2)))
        assertFalse(turns.spare(id(4)))
        turns.gone(id(3))
        assertEquals(emptySet(), turns.returns(begin + 1.seconds).keys, "the turn is for a hire")
        assertEquals(setOf(id(4)), turns.returns(begin + 2.seconds).keys)
    }

    @Test
    fun `a hundred machines go into one request and the next waits for its turn`() {
        val turns = CloudCallScheduler(1.0)
        turns.wantReturned((1..250).map(::id), TerminationReason.SUSPECTED)
        assertEquals(listOf(100, 0, 0, 100, 50), listOf(0, 1, 1, 2, 4).map { turns.returns(begin + it.seconds).size })
    }

    /** The list of a large fleet took two requests every 1.5 s, more than such a cloud's whole rate. */
    @Test
    fun `the list of a large fleet takes a quarter of a slow cloud's rate`() {
        val turns = CloudCallScheduler(1.2)
        assertTrue(turns.unlisted && turns.startList(begin, 1500.milliseconds))
        assertFalse(turns.startList(begin, 1500.milliseconds), "it is under way")
        turns.listed(603, begin)
        assertFalse(turns.startList(begin + 6.seconds, 1500.milliseconds))
        assertTrue(turns.startList(begin + 7.seconds, 1500.milliseconds))
        val quick = CloudCallScheduler(9.6)
        quick.startList(begin, 1500.milliseconds)
        quick.listed(603, begin)
        assertTrue(quick.startList(begin + 1500.milliseconds, 1500.milliseconds))
    }

    /** A list describes a moment up to twice its lag ago, and may be older than the one before. */
    @Test
    fun `nothing is gone, and nobody's is taken, by the word of an old list`() {
        val inventory = Inventory(10.seconds)
        fun listed(n: Int, state: String = "running") =
            ListedMachine(Machine(id(n), MachineType("small"), Zone("a"), false), state, null)
        fun held(n: Int, hiredAt: MonotonicInstant) =
            id(n) to ProvisionedMachine(listed(n).machine, "r-1", hiredAt, hiredHere = true)
        val held = mapOf(
            held(1, begin - 60.seconds),
            held(2, begin - 15.seconds),
            held(3, begin - 60.seconds),
            held(
                4,
                begin - 60.seconds,
            ),
        )
        held.getValue(id(3)).releasing = true
        val first = inventory.reconcile(listOf(listed(4, "failed"), listed(9)), begin, held)
        assertEquals(listOf(id(1)), first.gone, "the second may have been rented since, the third is being returned")
        assertEquals(listOf(id(4)), first.failed)
        assertEquals(emptyList(), first.unknown, "the ninth may just have been returned")
        assertEquals(emptyList(), inventory.reconcile(listOf(listed(9)), begin + 20.seconds, held).unknown)
        assertEquals(
            listOf(id(9)),
            inventory.reconcile(listOf(listed(9)), begin + 22.seconds, held).unknown.map {
                it.id
            },
        )
        // One that was not listed in between is a new one.
        inventory.reconcile(emptyList(), begin + 23.seconds, held)
        assertEquals(emptyList(), inventory.reconcile(listOf(listed(9)), begin + 24.seconds, held).unknown)
    }
}
