package org.elderhitch.jobs

/**
 * Limits on counts of tasks. They bound the cost of each decision in the controller's thread, whatever amounts and
 * counts users submit: an amount of 0, or one far below the smallest useful share, would otherwise let any number of
 * tasks fit on one machine.
 */
public object TaskLimits {
    /**
     * How many tasks a machine may have at the same time. A machine lists all its tasks in each heartbeat, whose body
     * is limited to 64 KiB.
     */
    public const val MAX_TASKS_PER_MACHINE: Int = 400
}
