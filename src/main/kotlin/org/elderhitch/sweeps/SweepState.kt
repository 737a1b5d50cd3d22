package org.elderhitch.sweeps

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobAccount
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision
import org.elderhitch.time.WallTime

/** How a point stands for good; null where it is used: it is open. */
public enum class PointEnd { DONE, WITHDRAWN, SKIPPED }

/**
 * What stands once and for ever beside a sweep's parts: written last, and whoever writes it first has decided that
 * there is such a sweep.
 */
public class Manifest(
    public val points: Int,
    public val parts: Int,
    /** Of the packed description. */
    public val sum: String,
    public val team: String,
    public val jobClass: String,
    public val at: WallTime,
    /** Points that are no jobs: of each block, as [CompletedTasks] packs it. */
    public val skipped: Map<Int, String>,
) {
    public fun encode(): Map<String, Any?> = linkedMapOf(
        "needs" to "sweeps",
        "points" to points,
        "parts" to parts,
        "sum" to sum,
        "team" to team,
        "class" to jobClass,
        "at" to at.ms,
        "skip" to skipped.mapKeys { it.key.toString() }.takeIf { it.isNotEmpty() },
    ).filterValues { it != null }

    public companion object {
        /** Throws [MalformedJson]. */
        public fun decode(from: JsonObject): Manifest {
            val points = from.count("points")
            val parts = from.count("parts")
            if (points !in 1..Points.MOST || parts !in 1..Parts.MOST) throw MalformedJson("points, parts: out of range")
            val skip = from.objectOrNull("skip")
            return Manifest(
                points.toInt(),
                parts.toInt(),
                from.string("sum"),
                from.string("team"),
                from.string("class"),
                WallTime(from.long("at")),
                skip?.names.orEmpty().associate {
                    (it.toIntOrNull() ?: throw MalformedJson("skip: no block")) to
                        (skip?.string(it)).orEmpty()
                },
            )
        }
    }
}

/**
 * One block of a sweep's points as the state service keeps it: which are done, which withdrawn, and what the done ones
 * did. Immutable.
 */
public class Block internal constructor(
    public val number: Int,
    private val done: CompletedTasks,
    private val cancelled: CompletedTasks,
    public val work: Work,
    public val version: Revision,
) {
    public val doneCount: Int get() = done.count
    public val withdrawnCount: Int get() = cancelled.count

    /** [at]: the point's place in the block. */
    public fun endOf(at: Int): PointEnd? = if (at in done) {
        PointEnd.DONE
    } else if (at in cancelled) {
        PointEnd.WITHDRAWN
    } else {
        null
    }

    /**
     * With these points done, as far as they are open. Whoever replaces this version first has decided how they end.
     */
    public fun withDone(points: Map<Int, JobAccount?>): Block {
        val fresh = points.filterKeys { endOf(it) == null }
        if (fresh.isEmpty()) return this
        return Block(number, with(done, fresh.keys), cancelled, work.with(fresh.values), version)
    }

    /** With these points withdrawn, as far as they are open. */
    public fun withWithdrawn(points: Collection<Int>): Block {
        val fresh = points.filter { endOf(it) == null }
        return if (fresh.isEmpty()) this else Block(number, done, with(cancelled, fresh), work, version)
    }

    /** The same, standing at [at]. */
    internal fun written(at: Revision): Block = Block(number, done, cancelled, work, at)

    private fun with(set: CompletedTasks, points: Collection<Int>): CompletedTasks = CompletedTasks(set.tasks).also {
        it.addAll(set)
    }.also { copy -> points.forEach(copy::add) }

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "d" to done.pack(0),
        "w" to cancelled.pack(0),
        "work" to work.encode(),
    )

    public companion object {
        public const val SIZE: Int = CompletedTasks.BLOCK

        public fun empty(number: Int, points: Int): Block = sizeOf(number, points).let {
            Block(number, CompletedTasks(it), CompletedTasks(it), Work.NONE, Revision.ABSENT)
        }

        private fun sizeOf(number: Int, points: Int): Int = minOf(SIZE, points - number * SIZE)

        /** Throws [MalformedJson] for a value that this program did not write. */
        public fun decode(number: Int, points: Int, value: JsonObject, version: Revision): Block {
            val empty = empty(number, points)
            if (!empty.done.unpack(0, value.string("d")) || !empty.cancelled.unpack(0, value.string("w"))) {
                throw MalformedJson("a block's points are none of its")
            }
            return Block(number, empty.done, empty.cancelled, Work.decode(value.obj("work")), version)
        }
    }
}

/** How the points of one sweep stand, by the latest known version of each block. Some bits a point. */
public class SweepState(public val id: SweepId, public val manifest: Manifest, public val version: Revision) {
    public val points: Int get() = manifest.points
    private val blocks = Array((points + Block.SIZE - 1) / Block.SIZE) { Block.empty(it, points) }
    private val skipped = CompletedTasks(points).also { all ->
        manifest.skipped.forEach { (block, text) ->
            if (!all.unpack(block, text)) throw MalformedJson("skip: block $block is none of ours")
        }
    }
    public val blockCount: Int get() = blocks.size

    public fun block(number: Int): Block = blocks[number]

    /** A newer version of a block; false if what is known is as new. */
    public fun take(block: Block): Boolean {
        if (block.version <= blocks[block.number].version) return false
        blocks[block.number] = block
        return true
    }

    public fun endOf(point: Int): PointEnd? = if (point in skipped) {
        PointEnd.SKIPPED
    } else {
        blocks[point / Block.SIZE].endOf(point % Block.SIZE)
    }

    public val done: Int get() = blocks.sumOf { it.doneCount }
    public val cancelled: Int get() = blocks.sumOf { it.withdrawnCount }
    public val skippedCount: Int get() = skipped.count
    public val open: Int get() = points - done - cancelled - skippedCount
    public val work: Work get() = blocks.fold(Work.NONE) { sum, block -> sum + block.work }

    /** Open points in their order, from [from] on. */
    public fun openFrom(from: Int): Sequence<Int> = (from until points).asSequence().filter { endOf(it) == null }
}

/**
 * Which points the leader's table holds: as many as a sweep may have there at once, in order. The rest costs bits. A
 * table of ten thousand
 * jobs would make every round longer, and rent for all of them.
 */
public object Window {
    /**
     * What to open beside [opened], of a sweep that may have [atOnce] open. [next]: where the last look left off, as
     * all before it are opened or ended.
     */
    public fun next(state: SweepState, opened: Set<Int>, atOnce: Int, next: Int): List<Int> {
        val room = atOnce - opened.size
        return if (room <= 0) emptyList() else state.openFrom(next).filter { it !in opened }.take(room).toList()
    }
}
