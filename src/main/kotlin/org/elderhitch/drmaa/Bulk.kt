package org.elderhitch.drmaa

import org.elderhitch.jobs.JobCodec

/** The index range of a bulk job: `start, start + step, …` up to `end`. */
public data class Bulk(val start: Int, val end: Int, val step: Int) {
    public val members: Int get() = (end - start) / step + 1

    public companion object {
        /** Throws [Refused]. */
        public fun of(start: Long, end: Long, step: Long): Bulk {
            if (step == 0L) throw Refused(Fault.InvalidArgumentException, "bulk: the step must not be 0")
            if (start < 1 || end < 1) throw Refused(Fault.InvalidArgumentException, "bulk: indices must be at least 1")
            val isEmpty = if (step > 0) end < start else end > start
            if (isEmpty) throw Refused(Fault.InvalidArgumentException, "bulk: the range is empty")
            // Each value is checked by itself, since sums of what a client sends may overflow.
            if (maxOf(start, end) > Int.MAX_VALUE || step !in Int.MIN_VALUE..Int.MAX_VALUE) {
                throw Refused(Fault.InvalidArgumentException, "bulk: start, end or step is out of range")
            }
            val bulk = Bulk(start.toInt(), end.toInt(), step.toInt())
            if (bulk.members > JobCodec.MAX_TASKS) {
                throw Refused(Fault.InvalidArgumentException, "bulk: more than ${JobCodec.MAX_TASKS} members")
            }
            return bulk
        }
    }
}
