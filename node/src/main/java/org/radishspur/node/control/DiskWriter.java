package org.radishspur.node.control;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.raft.Disk;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

/**
 * Writes the batches and snapshots of a control replica on threads of its own, so that a slow sync delays neither
 * heartbeats nor permits.
 */
final class DiskWriter implements ControlReplica.Writer, AutoCloseable {
    private static final long DISK_FULL_RETRY_MILLIS = 500;
    private static final long SPACE_CHECK_INTERVAL_MILLIS = 1_000;

    private final ControlLoop loop;
    private final Disk disk;
    private final DataFolder folder;
    private final long minimumFreeBytes;
    private final ExecutorService batchExecutor =
            Executors.newSingleThreadExecutor(action -> new Thread(action, "control-disk"));
    private final ExecutorService snapshotExecutor =
            Executors.newSingleThreadExecutor(action -> new Thread(action, "control-snapshot"));
    private final AtomicBoolean spaceAvailable = new AtomicBoolean(true);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final Runnable afterWrite;

    DiskWriter(ControlLoop loop, Disk disk, DataFolder folder, long minimumFreeBytes, Runnable afterWrite) {
        this.loop = loop;
        this.disk = disk;
        this.folder = folder;
        this.minimumFreeBytes = minimumFreeBytes;
        this.afterWrite = afterWrite;
        loop.repeat(() -> batchExecutor.execute(this::checkSpace), SPACE_CHECK_INTERVAL_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public void write(WriteBatch batch, LongConsumer written) {
        batchExecutor.execute(() -> {
            if (!batch.isEmpty()) {
                writeWithRetries(batch);
            }
            if (!closed.get()) {
                loop.execute(() -> {
                    written.accept(loop.nowMillis());
                    afterWrite.run();
                });
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public void prepareSnapshot(Supplier<Snapshot> source, Consumer<Snapshot> staged) {
        snapshotExecutor.execute(() -> {
            Snapshot snapshot = source.get();
            try {
                disk.prepareSnapshot(snapshot);
            } catch (RadishspurException exception) {
                // The batch that puts the snapshot into effect writes it again, and ends the process if the disk has
                // failed.
                ComponentLog.CONTROL.error("A snapshot could not be written ahead of its batch.", exception);
            }
            if (!closed.get()) {
                loop.execute(() -> {
                    staged.accept(snapshot);
                    afterWrite.run();
                });
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public boolean hasSpace() {
        return spaceAvailable.get();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed.set(true);
        batchExecutor.shutdownNow();
        snapshotExecutor.shutdownNow();
        disk.close();
    }

    /** Retries while the disk is full; after any other failure the disk state is unknown, and the process ends. */
    private void writeWithRetries(WriteBatch batch) {
        while (!closed.get()) {
            try {
                disk.write(batch);
                return;
            } catch (RadishspurException exception) {
                if (exception.code() != ErrorCode.DISK_FULL) {
                    loop.execute(() -> {
                        throw exception;
                    });
                    closed.set(true);
                    return;
                }
                spaceAvailable.set(false);
                ComponentLog.CONTROL.warn("The disk is full; edits and claims are refused.");
                waitBeforeRetry();
            }
        }
    }

    private void waitBeforeRetry() {
        try {
            Thread.sleep(DISK_FULL_RETRY_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            closed.set(true);
        }
    }

    private void checkSpace() {
        boolean sufficient = folder.usableBytes() >= minimumFreeBytes;
        if (spaceAvailable.getAndSet(sufficient) != sufficient) {
            ComponentLog.CONTROL.warn(
                    sufficient
                            ? "The disk has space again."
                            : "The disk is nearly full; edits and claims are refused.");
        }
    }
}
