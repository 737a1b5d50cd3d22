package org.elderhitch.jobs

/**
 * Amounts of resources, such as the request of a task or the total or free capacity of a machine.
 *
 * @property taskSlots in a task's request 1, in a machine's capacity the number of tasks that it may have. The amounts
 *   of a request can all be 0, so without slots any number of tasks could fit on a machine.
 */
public data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double, val taskSlots: Int = 0) {
    public operator fun plus(other: Resources): Resources =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb, taskSlots + other.taskSlots)

    public operator fun minus(other: Resources): Resources =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb, taskSlots - other.taskSlots)

    public operator fun times(count: Int): Resources =
        Resources(cpus * count, gpus * count, memoryGb * count, taskSlots * count)

    /** These amounts with negative ones replaced by zero. */
    public fun coerceAtLeastZero(): Resources =
        Resources(maxOf(cpus, 0.0), maxOf(gpus, 0.0), maxOf(memoryGb, 0.0), maxOf(taskSlots, 0))

    /** The smaller of the two amounts of each resource. */
    public fun coerceAtMost(other: Resources): Resources = Resources(
        minOf(cpus, other.cpus),
        minOf(gpus, other.gpus),
        minOf(memoryGb, other.memoryGb),
        minOf(taskSlots, other.taskSlots),
    )

    /** A scalar for comparing the load of machines of different types. */
    public val weight: Double get() = gpus + cpus

    /** Whether no amount exceeds the one in [capacity]. */
    public fun fitsIn(capacity: Resources): Boolean = cpus <= capacity.cpus + SLACK &&
        gpus <= capacity.gpus + SLACK &&
        memoryGb <= capacity.memoryGb + SLACK &&
        taskSlots <= capacity.taskSlots

    /**
     * How many tasks with this request fit in [capacity] together, from 0 to [limit]. The result is calculated, not
     * counted, so that its cost does not depend on the amounts.
     */
    public fun copiesIn(capacity: Resources, limit: Int): Int = when {
        limit <= 0 || !fitsIn(capacity) -> 0

        else -> minOf(
            minOf(wholeCopies(cpus, capacity.cpus, limit), wholeCopies(gpus, capacity.gpus, limit)),
            minOf(
                wholeCopies(memoryGb, capacity.memoryGb, limit),
                if (taskSlots > 0) minOf(limit, capacity.taskSlots / taskSlots) else limit,
            ),
        )
    }

    /** How many times [amount] fits in [available], at least once. */
    private fun wholeCopies(amount: Double, available: Double, limit: Int): Int =
        if (amount > 0) ((available + SLACK) / amount).coerceIn(1.0, limit.toDouble()).toInt() else limit

    public companion object {
        /** Tolerance for rounding errors in sums of decimal amounts, which must not prevent a task from fitting. */
        private const val SLACK = 1e-6
        public val NONE: Resources = Resources(0.0, 0.0, 0.0)

        /** The request of one task. */
        public fun ofTask(cpus: Double, gpus: Double, memoryGb: Double): Resources =
            Resources(cpus, gpus, memoryGb, taskSlots = 1)

        /** The capacity of an empty machine. */
        public fun ofMachine(cpus: Double, gpus: Double, memoryGb: Double): Resources =
            Resources(cpus, gpus, memoryGb, TaskLimits.MAX_TASKS_PER_MACHINE)
    }
}
