package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Accesses the files of a folder of the file system.
 *
 * @param path the folder.
 */
record FolderStorage(Path path) implements Storage {
    /** {@inheritDoc} */
    @Override
    public String location() {
        return path.toString();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> list(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(prefix))
                    .sorted()
                    .toList();
        }
    }

    /** {@inheritDoc} */
    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(path.resolve(name));
    }

    /** {@inheritDoc} */
    @Override
    public AppendFile open(String name) throws IOException {
        return new ChannelFile(path.resolve(name));
    }

    /** {@inheritDoc} */
    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    /** {@inheritDoc} */
    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    /** {@inheritDoc} */
    @Override
    public void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Appends to a file through a channel.
     */
    private static final class ChannelFile implements AppendFile {
        private final FileChannel channel;

        ChannelFile(Path path) throws IOException {
            channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.position(channel.size());
        }

        /** {@inheritDoc} */
        @Override
        public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        /** {@inheritDoc} */
        @Override
        public void truncate(long length) throws IOException {
            channel.truncate(length);
            channel.position(length);
        }

        /** {@inheritDoc} */
        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
